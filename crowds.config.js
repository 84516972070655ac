/**
 * The tests of clients that overload a controller: one at a time, apart from the other tests, since each fills the memory of a process.
 */

export default {
  files: ['dist/test/crowds/*.test.js'],
  concurrency: 1,
  serial: true,
  timeout: '180s',
  workerThreads: false
}
