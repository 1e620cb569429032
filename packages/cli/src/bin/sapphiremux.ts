#!/usr/bin/env node
// Runs the command-line client; the commands are registered in `src/index.ts`.
import { execute } from '@oclif/core';

await execute({ dir: import.meta.url });
