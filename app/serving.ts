/** Something that serves until it is stopped. */
export interface Serving {
  /** Address of each interface by its name. */
  readonly urls: Readonly<Record<string, string>>;
  readonly stop: () => Promise<void>;
}

const waitForSignal = (): Promise<void> =>
  new Promise((resolve) => {
    const handle = (): void => {
      process.off('SIGINT', handle);
      process.off('SIGTERM', handle);
      resolve();
    };
    process.on('SIGINT', handle);
    process.on('SIGTERM', handle);
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
 * @param json - value of the `--json` flag
 */
export const serveUntilSignal = async (
  name: string,
  serving: Serving,
  json: boolean,
): Promise<void> => {
  const signal = waitForSignal();
  process.stdout.write(
    json ? `${JSON.stringify({ name, urls: serving.urls })}\n` : formatUrls(name, serving.urls),
  );
  await signal;
  await serving.stop();
};
