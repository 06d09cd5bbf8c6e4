import type { ProcessRole, ProcessSpec, Urls } from './types.js';
import { assertNever } from '../../core/assertNever.js';

/**
 * Finds the address of a daemon's health and inspection pages.
 *
 * @param role - which daemon
 * @param urls - addresses that it printed
 * @returns the address, or an empty text when it printed none
 */
export const findHttpUrl = (
  role: Extract<ProcessRole, 'entry' | 'endpoint'>,
  urls: Urls,
): string => {
  switch (role) {
    case 'entry':
      return urls['callers'] ?? '';
    case 'endpoint':
      return urls['http'] ?? '';
    default:
      return assertNever(role);
  }
};

const formatPortFlag = (flag: string, url: string | undefined): readonly string[] =>
  url === undefined ? [] : [flag, new URL(url).port];

/**
 * Builds the arguments of a later start. A stand-in keeps its ports, because settings name them; a
 * daemon takes free ports, as a replaced instance has a new address.
 *
 * @param spec - process
 * @param urls - addresses of its last run
 * @returns the arguments
 */
export const buildRestartArgv = (spec: ProcessSpec, urls: Urls): readonly string[] => {
  switch (spec.role) {
    case 'platform':
    case 'engine':
      return [...spec.argv, ...formatPortFlag('--port', urls[spec.role])];
    case 'ledger':
      return [
        ...spec.argv,
        ...formatPortFlag('--port', urls['service']),
        ...formatPortFlag('--inspection-port', urls['inspection']),
      ];
    case 'entry':
    case 'endpoint':
      return spec.argv;
    default:
      return assertNever(spec);
  }
};
