import { CROWD_FILES } from './ava.crowds.config.js';

export default {
  files: ['dist/**/*.test.js', `!${CROWD_FILES}`],
  timeout: '120s',
  concurrency: 6,
};
