// Breaks one rule at a time in the built core and checks that the fuzzer
// turns red. Run it after a build: node scripts/mutations.mjs [NAME]
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';

const CORE = 'packages/core/dist/lib/';
const FUZZ = 'packages/standins/dist/bin/fuzz.js';
const MATRIX = 'packages/standins/dist/bin/matrix.js';
const TAKEOVER = 'packages/standins/dist/test/takeover.test.js';
const SEED_ARGS = ['--seed', '1', '--shrink-seconds', '0'];
const FUZZ_ARGS = ['--runs', '500', ...SEED_ARGS];
// The unbroken code holds for 406 runs of this seed (KNOWN-RED.txt).
const FLEET_ARGS = ['--world', 'fleet', '--runs', '300', ...SEED_ARGS];

const MUTATIONS = [
  {
    name: 'claim without its condition',
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
    name: 'lost answer taken for a refusal',
    file: 'process/store-writer.js',
    from: "case 'rows':\n            case 'object':\n            case 'unknown':",
    to: "case 'unknown':\n                this._backOff(now);\n                return;\n            case 'rows':\n            case 'object':",
  },
  {
    name: 'start without a record',
    file: 'process/runner.js',
    from: 'if (known) {',
    to: 'if (known && !start.resend) {',
  },
  {
    name: 'lost task started again',
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
    name: 'absence taken for a proof',
    file: 'process/takeover.js',
    from: 'this._fences.every((f) => f.reply && !f.reply.incomplete)',
    to: 'true',
  },
  {
    name: 'runner used before it is in the member row',
    file: 'process/membership.js',
    from: 'return this._persisted.has(key);',
    to: 'return true;',
  },
  {
    name: 'runner forgotten while a job still counts on it',
    file: 'process/dispatcher.js',
    from: 'if (!jobs.some((job) => job.runners.has(key))) {',
    to: 'if (true) {',
  },
  {
    name: 'outcome without its condition',
    file: 'process/job-rows.js',
    from: 'conditions: [{ key, version }, this._ownerCondition()]',
    to: 'conditions: row.outcome || row.outcomeKey ? [] : [{ key, version }, this._ownerCondition()]',
  },
  {
    name: 'earlier link still served',
    file: 'process/runner.js',
    from: 'this._closeLinkOf(owner);\n        const link = this._links',
    to: 'const link = this._links',
  },
  {
    name: 'configuration never goes stale at the runner',
    file: 'process/start-gate.js',
    from: 'now - this._confirmedAtMs > this._freshnessMs',
    to: 'false',
  },
  {
    name: 'runner takes any configuration',
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
    name: 'silent link kept',
    file: 'process/dispatcher.js',
    from: 'now - peer.link.lastMessageAtMs > linkSilenceMs',
    to: 'false',
  },
  {
    name: 'answer of another caller',
    file: 'process/job-table.js',
    from: 'taskCount: spec.tasks.length,\n            doneCount,',
    to: 'taskCount: spec.tasks.length + 1,\n            doneCount,',
  },
  {
    name: 'partial answer',
    file: 'request/job.js',
    from: 'this._done < this._states.length',
    to: 'this._done < this._states.length - 1',
  },
  {
    name: 'refusal claims "not run" without proof',
    file: 'request/replies.js',
    from: 'spec.firstAttempt ? notRunReply(refusal) : unknownReply(refusal)',
    to: 'notRunReply(refusal)',
  },
];

/** Rules of the platform, broken one at a time; the fleet fuzzer looks. */
const FLEET_MUTATIONS = [
  {
    name: 'start without room',
    file: 'process/worker-driver.js',
    from: '!fits(needs, this._freeCapacity())',
    to: 'false',
  },
  {
    name: 'late end acknowledged under the same lease',
    file: 'process/worker-driver.js',
    from: 'if (!end.superseded) {',
    to: 'if (true) {',
  },
  {
    name: 'worker that leaves still used',
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
    name: 'data centre that is out still used',
    file: 'process/worker-driver.js',
    from: '!this._isAccepting || this._dataCentreState.isOut',
    to: '!this._isAccepting',
    and: {
      file: 'process/job-placer.js',
      from: '&& !routes.isOut(hello.dataCentre)',
      to: '',
    },
  },
  {
    name: 'older configuration taken',
    file: 'version/route-table.js',
    from: 'change.config.version <= this._config.version',
    to: 'change.config.version % 2 === 0',
  },
  {
    name: 'steps not in order',
    file: 'request/batch-job.js',
    from: 'this.stepOf(task).after.every((number) => isDone[number])',
    to: 'true',
  },
  {
    name: 'steps never go on',
    file: 'process/run-reports.js',
    from: 'ownedJob.job.ready.length > 0',
    to: 'task.phase !== TaskPhase.Done',
  },
  {
    name: 'one run beyond the attempts',
    file: 'request/batch-job.js',
    from: 'task.failures >= this.content.attempts',
    to: 'task.failures > this.content.attempts',
  },
  {
    name: 'runs given up before they have ended',
    file: 'process/worker-view.js',
    from: 'this._clock.atLeast(now) > endsMs',
    to: 'true',
  },
  {
    name: 'end of another worker taken for the own',
    file: 'request/batch-job.js',
    from: ' && task.worker === worker',
    to: '',
  },
  {
    name: 'owner of runs may be silent',
    file: 'process/worker-driver.js',
    from: 'if (clockMs <= untilMs) {',
    to: 'if (true) {',
  },
  {
    name: 'ends acknowledged before their record',
    file: 'process/run-reports.js',
    from: 'if (ownedJob.job.content.isVolatile) {',
    to: 'if (true) {',
  },
  {
    name: 'late transaction taken for another owner',
    file: 'process/store-writer.js',
    from: 'const certain = conflicting.filter((write) => !this._uncertain.has(write));',
    to: 'const certain = conflicting;',
  },
  {
    name: 'runs of a cancelled job go on',
    file: 'process/batch-entry.js',
    from: 'this._fleet.stop(view, task.name, task.run);',
    to: '',
  },
  {
    name: 'job without its condition',
    file: 'process/job-recorder.js',
    from: 'conditions: [{ key: fleetKeys.job(id), version: 0 }],',
    to: 'conditions: [],',
  },
  {
    name: 'victim keeps its owner row',
    file: 'process/succession.js',
    from: 'if (!row) {',
    to: 'if (true) {',
  },
  {
    name: 'run that stands still kept',
    file: 'request/overdue.js',
    from: 'run.expectedMs <= 0',
    to: 'true',
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
  if (and) {
    undo.unshift(edit({ file: mutation.file, ...and }));
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
  const promise = line?.trim().replace(/ at \d+\.\d: .*/, '') ?? 'found';
  return status === 0 ? 'not found' : promise;
};

const ESTATE_CHECKS = [
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
  console.log(run(mutation, ESTATE_CHECKS));
}
for (const mutation of FLEET_MUTATIONS.filter(isWanted)) {
  console.log(run(mutation, FLEET_CHECKS));
}
