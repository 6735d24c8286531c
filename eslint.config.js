import {createRequire} from 'node:module';

const require = createRequire(import.meta.url);
const google = require('gts/build/eslint.config.js');

const networkModules = [
  'net',
  'dgram',
  'tls',
  'http',
  'https',
  'http2',
  'dns',
  'child_process',
  'fs',
];
const networkPaths = [
  ...networkModules.flatMap(name => [name, `node:${name}`]),
  'ws',
  'koa',
  'undici',
  'hot-shots',
];

// Names of the platform's interfaces: only its adapter knows them.
const platformNames =
  '(run-start|run-stop|/hold|/pace|/advise|log-(append|read|newest|join|leave|commit|owners|trim)|machine-(move|upkeep)|keyed\\.|fencing_token|last_seen|ended_runs|deadline_ms|X-Expect-Instance|X-Lease-Holder|X-Fencing-Token|X-Deadline-Ms|estimated_ms|anti_affinity|path_prefix|machine_class|max_hold_ms)';
const platformNameRules = ['Literal[value=', 'TemplateElement[value.raw='].map(
  start => ({
    selector: `${start}/${platformNames.replaceAll('/', '\\/')}/i]`,
    message: 'Names of the platform stand in platform/ only.',
  }),
);

export default [
  {
    files: ['scripts/*.mjs'],
    languageOptions: {globals: {process: 'readonly', console: 'readonly'}},
  },
  {ignores: ['**/lib/**', '**/node_modules/**']},
  ...google,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: null,
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      'import/no-default-export': 'off',
      'no-restricted-exports': [
        'error',
        {
          restrictDefaultExports: {
            direct: true,
            named: true,
            defaultFrom: true,
            namedFrom: true,
            namespaceFrom: true,
          },
        },
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['describe', 'it', 'suite', 'test'],
              package: 'node:test',
            },
          ],
        },
      ],
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/hashbang': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  {
    files: [
      'packages/admission/src/**/*.ts',
      'packages/decisions/src/**/*.ts',
      'packages/fleet/src/**/*.ts',
      'packages/jobs/src/**/*.ts',
      'packages/scheduling/src/**/*.ts',
      'packages/specification/src/**/*.ts',
    ],
    ignores: ['**/__tests__/**'],
    rules: {
      'no-restricted-imports': ['error', {paths: networkPaths}],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now', message: 'Pass a Clock in.'},
        {
          object: 'Math',
          property: 'random',
          message: 'Pass a RandomSource in.',
        },
      ],
    },
  },
  {
    files: [
      'packages/{jobs,scheduling,coordinator,entry}/src/**/*.ts',
      'packages/{kernel,cli,daemon}/src/**/*.ts',
    ],
    ignores: ['**/__tests__/**'],
    rules: {'no-restricted-syntax': ['error', ...platformNameRules]},
  },
];
