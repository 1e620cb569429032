// Mutation tests: breaks one rule at a time in the built core and reports
// which checks fail. Run after a build: node scripts/mutations.mjs [NAME]
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';

const CORE = 'packages/core/dist/lib/';
const FUZZ = 'packages/standins/dist/bin/fuzz.js';
const MATRIX = 'packages/standins/dist/bin/matrix.js';
const TAKEOVER = 'packages/standins/dist/test/takeover.test.js';
const SEED_ARGS = ['--seed', '1', '--shrink-seconds', '0'];
const FUZZ_ARGS = ['--runs', '500', ...SEED_ARGS];
const FLEET_ARGS = ['--world', 'fleet', '--runs', '300', ...SEED_ARGS];

const MUTATIONS = [
  {
    name: 'claim without its version condition',
    file: 'process/job-rows.js',
    from: 'conditions: [{ key, version }, this._ownerCondition()]',
    to: 'conditions: version === 0 ? [this._ownerCondition()] : [{ key, version }, this._ownerCondition()]',
  },
  {
    name: 'claim without the owner row',
    file: 'process/job-rows.js',
    from: 'conditions: [{ key, version }, this._ownerCondition()]',
    to: 'conditions: version === 0 ? [{ key, version }] : [{ key, version }, this._ownerCondition()]',
  },
  {
    name: 'lost store reply taken for a refusal',
    file: 'process/store-writer.js',
    from: "case 'rows':\n            case 'object':\n            case 'unknown':",
    to: "case 'unknown':\n                this._backOff(now);\n                return;\n            case 'rows':\n            case 'object':",
  },
  {
    name: 'resent start run again despite its record',
    file: 'process/runner.js',
    from: 'if (known) {',
    to: 'if (known && !start.resend) {',
  },
  {
    name: 'lost non-idempotent task restarted',
    file: 'request/job.js',
    from: 'if (this.idempotent) {',
    to: 'if (true) {',
  },
  {
    name: 'fence without effect',
    file: 'process/runner.js',
    from: 'this._fence(req.owner, req.successor);',
    to: '',
  },
  {
    name: 'incomplete fence reply taken for proof of no run',
    file: 'process/takeover.js',
    from: 'this._fences.every((f) => f.reply && !f.reply.incomplete)',
    to: 'true',
  },
  {
    name: 'runner used before the member row records it',
    file: 'process/membership.js',
    from: 'return this._storedRunners.has(runnerKey(ref));',
    to: 'return true;',
  },
  {
    name: 'runner removed while a job still refers to it',
    file: 'process/dispatcher.js',
    from: 'if (!jobs.some((job) => job.runners.has(key))) {',
    to: 'if (true) {',
  },
  {
    name: 'outcome written without its conditions',
    file: 'process/job-rows.js',
    from: 'conditions: [{ key, version }, this._ownerCondition()]',
    to: 'conditions: row.outcome || row.outcomeKey ? [] : [{ key, version }, this._ownerCondition()]',
  },
  {
    name: 'earlier link of an entry not closed',
    file: 'process/runner.js',
    from: 'this._closeLinkOf(owner);\n        const link = this._links',
    to: 'const link = this._links',
  },
  {
    name: 'configuration never becomes stale at the runner',
    file: 'process/start-gate.js',
    from: 'now - this._confirmedAtMs > this._freshnessMs',
    to: 'false',
  },
  {
    name: 'runner accepts an older configuration',
    file: 'process/start-gate.js',
    from: 'msg.config && msg.config.version > this._config.version',
    to: 'msg.config',
  },
  {
    name: 'leaving endpoint still used',
    file: 'process/start-gate.js',
    from: 'endpoint.value.leaving || ',
    to: '',
    and: { from: '!endpoint.value.leaving', to: 'true' },
  },
  {
    name: 'data centre not checked by either side',
    file: 'process/start-gate.js',
    from: '!this._config.dataCentreInService',
    to: 'false',
    and: {
      file: 'connection/runner-peer.js',
      from: 'config.isDataCentreInService(dataCentre)',
      to: 'true',
    },
  },
  {
    name: 'planned stop does not wait for callers',
    file: 'process/entry.js',
    from: 'this._openCalls.size +',
    to: '',
  },
  {
    name: 'unresponsive link not replaced',
    file: 'process/dispatcher.js',
    from: 'now - peer.link.lastMessageAtMs > linkTimeoutMs',
    to: 'false',
  },
  {
    name: 'reply with a wrong task count',
    file: 'process/job-table.js',
    from: 'taskCount: spec.tasks.length,\n            doneCount,',
    to: 'taskCount: spec.tasks.length + 1,\n            doneCount,',
  },
  {
    name: 'job complete with one task missing',
    file: 'request/job.js',
    from: 'this._done < this._states.length',
    to: 'this._done < this._states.length - 1',
  },
  {
    name: 'refusal claims "not run" without proof',
    file: 'request/replies.js',
    from: 'spec.firstAttempt ? notRunReply(refusal) : mayHaveRunReply(refusal)',
    to: 'notRunReply(refusal)',
  },
];

/**
 * Mutations of the batch entry and the worker driver, checked with the unit
 * tests of the core and the fleet world of the fuzzer.
 */
const FLEET_MUTATIONS = [
  {
    name: 'start beyond the remaining capacity',
    file: 'scheduling/start-queue.js',
    from: '!isHeldBack && fits(start.needs, capacity.free)',
    to: '!isHeldBack',
  },
  {
    name: 'superseded end acknowledged before the lease expires',
    file: 'process/worker-driver.js',
    from: 'if (!end.superseded) {',
    to: 'if (true) {',
  },
  {
    name: 'leaving worker still used',
    file: 'process/worker-driver.js',
    from: 'this._worker?.accepting === true',
    to: 'this._worker !== undefined',
    and: {
      file: 'process/worker-view.js',
      from: 'this.isAccepting &&',
      to: '',
    },
  },
  {
    name: 'data centre out of service still used',
    file: 'process/worker-driver.js',
    from: '!this._dataCentreState.isOutOfService &&',
    to: '',
    and: {
      file: 'process/job-placer.js',
      from: '&& !routes.isOutOfService(hello.dataCentre)',
      to: '',
    },
  },
  {
    name: 'older configuration accepted',
    file: 'version/route-table.js',
    from: 'change.config.version <= this._config.version',
    to: 'change.config.version % 2 === 0',
  },
  {
    name: 'steps started before their predecessors end',
    file: 'request/batch-job.js',
    from: 'this.stepOf(task).after.every((number) => isDone[number])',
    to: 'true',
  },
  {
    name: 'following steps never started',
    file: 'process/run-reports.js',
    from: 'ownedJob.job.ready.length > 0',
    to: 'task.phase !== TaskPhase.Done',
  },
  {
    name: 'one run beyond the maximum attempts',
    file: 'request/batch-job.js',
    from: 'task.failedRuns.size >= this.content.attempts',
    to: 'task.failedRuns.size > this.content.attempts',
  },
  {
    name: 'runs abandoned before they have provably ended',
    file: 'process/worker-view.js',
    from: 'clockMs <= endsMs',
    to: 'false',
  },
  {
    name: 'runs repeated although they may begin late',
    file: 'process/worker-view.js',
    from: 'clockMs > endsMs + DELAYED_CALL_LIMIT_MS',
    to: 'true',
  },
  {
    name: 'end reported by another worker accepted',
    file: 'request/batch-job.js',
    from: ' && task.worker === worker',
    to: '',
  },
  {
    name: 'runs of an unresponsive owner not stopped',
    file: 'process/worker-driver.js',
    from: 'if (clockMs <= untilMs) {',
    to: 'if (true) {',
  },
  {
    name: 'ends acknowledged before they are recorded',
    file: 'process/run-reports.js',
    from: 'if (ownedJob.job.content.isVolatile) {',
    to: 'if (true) {',
  },
  {
    name: 'write with unknown outcome taken for another owner',
    file: 'process/store-writer.js',
    from: 'const certain = conflicting.filter((write) => !this._uncertain.has(write));',
    to: 'const certain = conflicting;',
  },
  {
    name: 'runs of a cancelled job not stopped',
    file: 'process/batch-entry.js',
    from: 'this._fleet.stopRunOf(task);',
    to: '',
  },
  {
    name: 'job recorded without its condition',
    file: 'process/job-recorder.js',
    from: 'conditions: [{ key: fleetKeys.job(id), version: 0 }],',
    to: 'conditions: [],',
  },
  {
    name: 'owner row of the replaced entry not deleted',
    file: 'process/entry-takeover.js',
    from: 'if (!row) {',
    to: 'if (true) {',
  },
  {
    name: 'crashes under a task not counted',
    file: 'process/crash-ledger.js',
    from: 'record.crashes.push(taskCrash);',
    to: '',
  },
  {
    name: 'crashes not reported on new links or recorded',
    file: 'process/crash-history.js',
    from: 'now - atMs < CRASH_RETENTION_MS',
    to: 'false',
    and: {
      file: 'process/batch-entry.js',
      from: 'this._crashes.restore(task.name, crashes);',
      to: '',
    },
  },
  {
    name: 'capacity of a resized worker ignored',
    file: 'process/worker-driver.js',
    from: 'this._worker = worker;',
    to: 'this._worker = { ...worker, capacity: known?.capacity ?? worker.capacity };',
  },
  {
    name: 'time limits kept when the worker restarts',
    file: 'process/worker-driver.js',
    from: 'this._ownerExpiryMs.clear();',
    to: '',
  },
  {
    name: 'order for an earlier incarnation carried out',
    file: 'process/worker-driver.js',
    from: "order.life === '' || order.life === this._workerIncarnation",
    to: 'true',
  },
  {
    name: 'earlier link of an entry still served',
    file: 'process/worker-driver.js',
    from: 'if (earlier) {',
    to: 'if (false) {',
    and: { from: 'if (earlier === link) {', to: 'if (false) {' },
  },
  {
    name: 'recorded failure counted again after a takeover',
    file: 'request/batch-job.js',
    from: 'task.failedRuns.add(run)',
    to: 'task.failedRuns.add(-run)',
  },
  {
    name: 'stalled run not stopped',
    file: 'request/stalled-runs.js',
    from: 'run.expectedMs <= 0',
    to: 'true',
  },
  {
    name: 'long run stopped like a stalled one',
    file: 'request/stalled-runs.js',
    from: 'progress.latestStartMs > sinceMs',
    to: 'false',
  },
  {
    name: 'task placed where it is late instead of held back',
    file: 'process/worker-choice.js',
    from: 'isBestTooSlow && isFasterBusy',
    to: 'false',
  },
  {
    name: 'planned stop forgotten by the next incarnation',
    file: 'process/batch-entry.js',
    from: 'this._beginStop(options.stoppingSinceMs);',
    to: '',
    and: {
      from: 'this._continuesStop = options.stoppingSinceMs !== undefined;',
      to: 'this._continuesStop = false;',
    },
  },
  {
    name: 'waiting calls not answered at the end of a planned stop',
    file: 'process/batch-entry.js',
    from: "this._answerOpenCalls('this entry has stopped');",
    to: '',
  },
  {
    name: 'last write of a planned stop without a time limit',
    file: 'process/batch-entry.js',
    from: 'now >= this._leaveUntilMs',
    to: 'false',
  },
  {
    name: 'tasks placed after an old poll of the sockets',
    file: 'process/batch-entry.js',
    from: 'pollAgeMs > this._options.runLimits.maxPollAgeMs &&',
    to: 'false &&',
  },
  {
    name: 'registration written without its version and never checked',
    file: 'process/owned-row.js',
    from: 'conditions: [{ key, version }],',
    to: 'conditions: [],',
    and: {
      from: 'Math.max(this._retryAtMs, this._checkAtMs)',
      to: 'Number.POSITIVE_INFINITY',
    },
  },
  {
    name: 'versions of registrations that entries report ignored',
    file: 'process/owned-row.js',
    from: 'if (isUnknown) {',
    to: 'if (false) {',
  },
  {
    name: 'row not written again after a write without a reply',
    file: 'process/owned-row.js',
    from: 'stored.version !== this._unansweredVersion',
    to: 'true',
  },
  {
    name: 'owner row that was created late used unconfirmed',
    file: 'process/job-recorder.js',
    from: 'now - startedAtMs < UNFENCED_MS',
    to: 'true',
  },
  {
    name: 'member row that was created again not noticed',
    file: 'process/entry-lease.js',
    from: 'row.version > this._rowVersion',
    to: 'false',
  },
  {
    name: 'end of a later run than the adopted one not applied',
    file: 'request/batch-job.js',
    from: 'run > task.run',
    to: 'false',
  },
  {
    name: 'rejected write repeated like one without a reply',
    file: 'process/store-writer.js',
    from: 'this._onTransactionRejected(now);',
    to: 'this._batch.forEach((write) => this._toReadBack.add(write)); this._backOff(now);',
    and: [
      {
        from: 'this._isOversized(write, ownEntries, ownBytes)',
        to: 'false',
      },
      {
        file: 'process/job-recorder.js',
        from: 'return sizeBytes > rowBytes',
        to: 'return false',
      },
    ],
  },
  {
    name: 'size of a job not checked before it is accepted',
    file: 'process/job-recorder.js',
    from: 'return sizeBytes > rowBytes',
    to: 'return false',
  },
  {
    name: 'rejected transaction fails with all its writes',
    file: 'process/store-writer.js',
    from: 'if (others.length > 0) {',
    to: 'if (others.length > 0) { this._batch.forEach((w) => this._reject(w, now)); } else if (false) {',
    and: {
      from: 'this._isOversized(write, ownEntries, ownBytes)',
      to: 'false',
    },
  },
  {
    name: 'row that kept its version taken for written',
    file: 'process/store-writer.js',
    from: 'ownWrite && isReplaced &&',
    to: 'ownWrite &&',
  },
  {
    name: 'cancel of a volatile job without a reply',
    file: 'process/batch-entry.js',
    from: "this._replyAll(ownedJob.cancelReplies, { kind: 'cancelled' });",
    to: '',
  },
];

const edit = ({ file, from, to }) => {
  const path = CORE + file;
  const original = readFileSync(path, 'utf8');
  if (!original.includes(from)) {
    throw new Error(`${path} does not contain ${from}`);
  }
  writeFileSync(path, original.replace(from, to));
  return () => {
    writeFileSync(path, original);
  };
};

const run = ({ and, ...mutation }, checks) => {
  const undo = [edit(mutation)];
  for (const further of [and ?? []].flat()) {
    undo.unshift(edit({ file: mutation.file, ...further }));
  }
  try {
    const found = checks.map((args) => check(args));
    return `| ${[mutation.name, ...found].join(' | ')} |`;
  } finally {
    undo.forEach((restore) => {
      restore();
    });
  }
};

const check = (args) => {
  const { stdout, status } = spawnSync('node', args, { encoding: 'utf8' });
  const line = stdout.split('\n').find((l) => / at \d+\.\d: /.test(l));
  const violated = line?.trim().replace(/ at \d+\.\d: .*/, '') ?? 'found';
  return status === 0 ? 'not found' : violated;
};

const DISPATCH_CHECKS = [
  ['node_modules/.bin/mocha', TAKEOVER],
  [MATRIX],
  [FUZZ, ...FUZZ_ARGS],
];
const FLEET_CHECKS = [
  ['node_modules/.bin/mocha', 'packages/core/dist/test/*.test.js'],
  [FUZZ, ...FLEET_ARGS],
];

const wanted = process.argv[2];
const isWanted = ({ name }) => wanted === undefined || name.includes(wanted);
for (const mutation of MUTATIONS.filter(isWanted)) {
  console.log(run(mutation, DISPATCH_CHECKS));
}
for (const mutation of FLEET_MUTATIONS.filter(isWanted)) {
  console.log(run(mutation, FLEET_CHECKS));
}
