/** Command-line client of sapphiremux, installed as `sapphiremux`. */
import type { Command } from '@oclif/core';
import Cancel from './lib/commands/cancel.js';
import DrainDataCentre from './lib/commands/drain/dc.js';
import DrainEndpoint from './lib/commands/drain/endpoint.js';
import Explain from './lib/commands/explain.js';
import ListMembers from './lib/commands/members.js';
import Request from './lib/commands/request.js';
import ReturnDataCentre from './lib/commands/return/dc.js';
import ReturnEndpoint from './lib/commands/return/endpoint.js';
import Status from './lib/commands/status.js';
import Submit from './lib/commands/submit.js';
import TicketApply from './lib/commands/ticket/apply.js';
import TicketList from './lib/commands/ticket/list.js';
import TicketShow from './lib/commands/ticket/show.js';
import Wait from './lib/commands/wait.js';

export { ExitCode } from './lib/exit-codes.js';

/** All commands by name; oclif reads this table. A colon separates topic and command. */
export const COMMANDS: Readonly<Record<string, Command.Class>> = {
  cancel: Cancel,
  'drain:dc': DrainDataCentre,
  'drain:endpoint': DrainEndpoint,
  explain: Explain,
  members: ListMembers,
  request: Request,
  'return:dc': ReturnDataCentre,
  'return:endpoint': ReturnEndpoint,
  status: Status,
  submit: Submit,
  'ticket:apply': TicketApply,
  'ticket:list': TicketList,
  'ticket:show': TicketShow,
  wait: Wait,
};
