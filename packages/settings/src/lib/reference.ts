import { z } from 'zod';
import { entrySchema, runnerSchema } from './schema.js';

/** The parts of JSON Schema that the reference is rendered from. */
interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly const?: unknown;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
}

/**
 * Renders the reference page of all settings from their schema.
 *
 * @returns The page in Markdown.
 */
export const settingsReference = (): string =>
  [
    '# Settings',
    '',
    'Generated from the schema; do not edit. Durations carry a unit (`"500ms"`, `"2s"`, `"1h"`), sizes too (`"64KiB"`, `"4MiB"`).',
    '',
    ...section('entry', entrySchema),
    ...section('runner', runnerSchema),
  ].join('\n');

const section = (role: string, schema: z.ZodType): string[] => {
  const json = z.toJSONSchema(schema, { io: 'input' }) as JsonSchema;
  return [
    `## Role \`${role}\``,
    '',
    '| Key | Default | Meaning |',
    '| --- | --- | --- |',
    ...rows('', json),
    '',
  ];
};

const rows = (path: string, schema: JsonSchema): string[] =>
  Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
    const key = path === '' ? name : `${path}.${name}`;
    if (property.properties) {
      return rows(key, property);
    }
    const isRequired = schema.required?.includes(name) ?? false;
    return [
      `| \`${key}\` | ${defaultText(property, isRequired)} | ${property.description ?? ''} |`,
    ];
  });

const defaultText = (property: JsonSchema, isRequired: boolean): string => {
  if (property.const !== undefined) {
    return `always \`${JSON.stringify(property.const)}\``;
  }
  if (property.default !== undefined) {
    return `\`${JSON.stringify(property.default)}\``;
  }
  return isRequired ? 'required' : 'none';
};
