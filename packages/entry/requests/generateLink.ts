import { constants } from 'node:http2';
import type { ClientHttp2Stream, IncomingHttpHeaders } from 'node:http2';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { ConnectError, Code } from '@connectrpc/connect';
import type { Http2SessionManager } from '@connectrpc/connect-node';
import { encodeEnvelope } from '@connectrpc/connect/protocol';
import {
  endStreamFromJson,
  requestHeader,
  validateResponse,
} from '@connectrpc/connect/protocol-connect';
import { MAX_MESSAGE_BYTES } from '../../wire/constants.js';
import { createEnvelopeSplitter } from '../../wire/envelopes.js';
import type { Envelope } from '../../wire/envelopes.js';
import {
  EndpointService,
  GenerateEventSchema,
  GenerateRequestSchema,
} from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';
import type {
  GenerateEvent,
  GenerateRequest,
} from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';

/** What a link tells its owner; after `onEnd` nothing follows. */
export interface LinkReceiver {
  readonly onEvent: (event: GenerateEvent) => void;
  /** The stream is over: in order, or with the error that broke it. */
  readonly onEnd: (end: { readonly kind: 'ended' } | LinkFault) => void;
}

export interface LinkFault {
  readonly kind: 'broken';
  readonly error: unknown;
}

/** Open call of `EndpointService.Generate`. */
export interface GenerateLink {
  /** Cancels the call; the receiver hears nothing more. */
  readonly close: () => void;
}

const METHOD = EndpointService.method.generate;
const PATH = `/${EndpointService.typeName}/${METHOD.name}`;

/** No compression is accepted: a token is smaller than what compression can save. */
const HEADERS = Object.fromEntries(
  requestHeader(METHOD.methodKind, true, undefined, undefined, false),
);

const toWebHeaders = (headers: IncomingHttpHeaders): Headers => {
  const web = new Headers();
  for (const [name, value] of Object.entries(headers)) {
    if (!name.startsWith(':') && typeof value === 'string') web.set(name, value);
  }
  return web;
};

const checkResponse = (headers: IncomingHttpHeaders & { readonly ':status'?: number }): void => {
  const status = headers[':status'] ?? 0;
  validateResponse(METHOD.methodKind, true, status, toWebHeaders(headers));
};

/**
 * Opens a stream of `EndpointService.Generate` in the Connect protocol on a peer's session.
 *
 * A token passes one frame and one decoding here. The stream client of connect-es passes each message
 * through a chain of asynchronous generators, which was the largest share of the entry daemon's
 * script time per token in a processor profile with 200 streams.
 *
 * @param manager - session of the endpoint daemon
 * @param message - request
 * @param receiver - gets the events and the end, each as soon as its bytes arrive
 * @returns the open link
 */
export const openGenerateLink = (
  manager: Http2SessionManager,
  message: GenerateRequest,
  receiver: LinkReceiver,
): GenerateLink => {
  const splitter = createEnvelopeSplitter(MAX_MESSAGE_BYTES);
  let state: 'open' | 'over' = 'open';
  let stream: ClientHttp2Stream | undefined;

  const finish = (end: Parameters<LinkReceiver['onEnd']>[0]): void => {
    if (state === 'over') return;
    state = 'over';
    receiver.onEnd(end);
  };

  const cancelStream = (): void => {
    if (stream !== undefined && !stream.closed) stream.close(constants.NGHTTP2_CANCEL);
  };

  const failWith = (error: unknown): void => {
    finish({ kind: 'broken', error });
    cancelStream();
  };

  const receiveEnvelope = ({ kind, data }: Envelope): void => {
    if (state === 'over') return;
    if (kind === 'message') {
      receiver.onEvent(fromBinary(GenerateEventSchema, data));
      return;
    }
    const { error } = endStreamFromJson(data);
    finish(error === undefined ? { kind: 'ended' } : { kind: 'broken', error });
  };

  const receiveBytes = (opened: ClientHttp2Stream, bytes: Buffer): void => {
    manager.notifyResponseByteRead(opened);
    try {
      splitter.split(bytes).forEach(receiveEnvelope);
    } catch (error) {
      failWith(error);
    }
  };

  const sendRequest = (opened: ClientHttp2Stream): void => {
    stream = opened;
    opened.on('error', failWith);
    opened.on('close', () => {
      const code = opened.rstCode.toString();
      failWith(new ConnectError(`the stream was closed with code ${code}`, Code.Unavailable));
    });
    if (state === 'over') {
      cancelStream();
      return;
    }
    opened.on('response', (headers) => {
      try {
        checkResponse(headers);
      } catch (error) {
        failWith(error);
      }
    });
    opened.on('data', (bytes: Buffer) => {
      receiveBytes(opened, bytes);
    });
    opened.end(encodeEnvelope(0, toBinary(GenerateRequestSchema, message)));
  };

  manager.request('POST', PATH, HEADERS, {}).then(sendRequest, failWith);
  return {
    close: () => {
      state = 'over';
      cancelStream();
    },
  };
};
