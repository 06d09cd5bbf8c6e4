/** Something that serves until it is stopped. */
export interface Serving {
  /** Address of each interface by its name. */
  readonly urls: Readonly<Record<string, string>>;
  readonly stop: () => Promise<void>;
  /** Resolves when it ended by itself. */
  readonly ended?: Promise<unknown>;
}

/** Flags of every command that serves. */
export interface ServingFlags {
  readonly json: boolean;
  readonly 'stop-with-input': boolean;
}

const END_SIGNALS = ['SIGINT', 'SIGTERM'] as const;

/**
 * Waits for SIGINT or SIGTERM, or for the end of standard input if that is watched too.
 *
 * @param input - whether the end of standard input counts
 * @param ended - resolves when there is nothing left to wait for
 * @returns a promise that resolves once; a second signal then ends the process at once
 */
export const waitForEnd = (input: 'watched' | 'ignored', ended?: Promise<unknown>): Promise<void> =>
  new Promise((resolve) => {
    const handle = (): void => {
      for (const signal of END_SIGNALS) process.off(signal, handle);
      // An open standard input would keep the process alive.
      if (input === 'watched') process.stdin.off('close', handle).destroy();
      resolve();
    };
    for (const signal of END_SIGNALS) process.on(signal, handle);
    if (input === 'watched') process.stdin.on('close', handle).resume();
    void ended?.then(handle);
  });

const formatUrls = (name: string, urls: Serving['urls']): string =>
  Object.entries(urls)
    .map(([role, url]) => `${name} serves ${role} on ${url}\n`)
    .join('');

/**
 * Prints the addresses, waits for SIGINT or SIGTERM and stops in order.
 *
 * @param name - what serves, for the text
 * @param serving - addresses and stop function
 * @param flags - form of the addresses, and what ends the process
 */
export const serveUntilSignal = async (
  name: string,
  serving: Serving,
  flags: ServingFlags,
): Promise<void> => {
  const end = waitForEnd(flags['stop-with-input'] ? 'watched' : 'ignored', serving.ended);
  process.stdout.write(
    flags.json
      ? `${JSON.stringify({ name, urls: serving.urls })}\n`
      : formatUrls(name, serving.urls),
  );
  await end;
  await serving.stop();
};
