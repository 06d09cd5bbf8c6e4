export default {
  files: ['dist/**/*.test.js'],
  timeout: '120s',
  concurrency: 6,
};
