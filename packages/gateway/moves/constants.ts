/**
 * Time for which a version still counts as serving after its last endpoint was removed. Endpoints that
 * crashed are back after some seconds; until then, a version on trial does not get their requests.
 */
export const SERVING_RETURN_MS = 10_000;
