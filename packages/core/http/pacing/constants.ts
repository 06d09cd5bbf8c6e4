/** Memory of one open request beyond its head and body: its connection, attempts and timers. */
export const REQUEST_OVERHEAD_BYTES = 16 * 1024;

/** Memory of one header or target beyond its characters. */
export const STRING_OVERHEAD_BYTES = 48;

/** Limit of the connections of one listener, whatever the memory; file descriptors are finite. */
export const MAX_LISTENER_CONNECTIONS = 8_192;
