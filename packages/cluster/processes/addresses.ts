import type { ProcessRole, ProcessSpec, Urls } from './types.js';
import { assertNever } from '../../core/assertNever.js';

/**
 * Returns the address of a daemon's health and inspection pages.
 *
 * @param role - role of the daemon
 * @param urls - addresses that the daemon printed
 * @returns the address, or an empty string when the daemon did not print it
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
 * Builds the arguments of a restart. A stand-in keeps its ports, because settings files contain
 * them; a daemon selects free ports, as a replaced instance has a new address.
 *
 * @param spec - specification of the process
 * @param urls - addresses of its previous run
 * @returns the command-line arguments
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
