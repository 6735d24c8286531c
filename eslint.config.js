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

export default [
  {
    files: ['scripts/*.mjs'],
    languageOptions: {globals: {process: 'readonly', console: 'readonly'}},
  },
  {ignores: ['**/lib/**', '**/node_modules/**']},
  ...google,
  {
    files: ['packages/*/src/**/*.ts'],
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
      'packages/decisions/src/**/*.ts',
      'packages/fleet/src/**/*.ts',
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
];
