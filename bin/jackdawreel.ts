#!/usr/bin/env node
/**
 * The binary of the operators' command line: `jackdawreel COMMAND`.
 */

import { Program } from '../src/operator/Program.js'
import { TerminalConsole } from '../src/operator/TerminalConsole.js'

process.exitCode = await new Program(new TerminalConsole(), process.env).run(process.argv.slice(2))
