/** Why the connection of a caller ended, and thereby who closed it. */
export type ConnectionEndCause =
  /** The caller closed or reset it. */
  | 'caller'
  /** This daemon closed it for one of the following reasons. */
  | 'idle-timeout'
  | 'header-timeout'
  /** The received bytes are not a valid request. */
  | 'unreadable'
  /** An answer that had begun cannot be completed. */
  | 'answer-broken'
  /** The caller does not read its answer. */
  | 'slow-caller'
  /** The requests child restarted and lost the request. */
  | 'state-lost'
  /** The memory for connections or for what is not parsed yet was needed for others. */
  | 'no-room'
  /** The body of an answered request is longer than any body may be. */
  | 'endless-body'
  /** An answer was the last one on its connection. */
  | 'last-answer'
  /** Connections that appeared idle were closed at the end of the drain. */
  | 'drain-ended'
  | 'process-ended'
  /** None of the places that close connections recorded a cause. */
  | 'unknown';

/** Progress of a request whose answer has not been sent completely. */
export type RequestPhase =
  | 'awaiting-head'
  | 'reading-body'
  | 'awaiting-answer'
  | 'answering'
  /** The answer is complete, but part of it has not been passed to the operating system. */
  | 'flushing';

/** When an idle connection was closed, compared to its idle timeout. */
export type IdlePhase =
  | 'idle'
  /** Well after the timeout, since the process was busy or paused. */
  | 'idle-late';
