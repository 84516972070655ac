#!/usr/bin/env node
/**
 * The operators' command line.
 */

import { Program } from '../src/operator/Program.js'
import { TerminalConsole } from '../src/operator/TerminalConsole.js'

process.exitCode = await new Program(new TerminalConsole(), process.env).run(process.argv.slice(2))
