// Tests of what fills the memory or the loop of a daemon run one at a time, apart from other load.
export const CROWD_FILES =
  'dist/**/*{Crowds,Floods,floodsTogether,daemonListeners,memoryLimit}.test.js';

export default {
  files: [CROWD_FILES],
  timeout: '180s',
  concurrency: 1,
};
