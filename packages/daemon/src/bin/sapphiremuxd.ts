#!/usr/bin/env node
import { main } from '../lib/process/main.js';

await main(process.argv.slice(2));
