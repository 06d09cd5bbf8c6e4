#!/usr/bin/env node
// Runs the compiled command line; `npm run build` compiles it.
import { runCommandLine } from '../../dist/app/main.js';

await runCommandLine(process.argv.slice(2), import.meta.url);
