/**
 * Standard style, plus the layers of the tree: `src/common` knows nothing of the runtime, and a runtime
 * folder never imports from the inside of another one that stands above it.
 */

import neostandard from 'neostandard'

const nodeIo = ['node:*', 'undici', 'ws', 'moleculer', 'moleculer-web', 'tslog', 'yargs', 'ini']

const platform = { group: ['**/platform/**'], message: 'Only what puts a process together knows the platform.' }

function layer (files, group, message) {
  return { files, ignores: ['**/*.test.ts'], rules: { 'no-restricted-imports': ['error', { patterns: [{ group, message }, platform] }] } }
}

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }],
      'max-len': 'off',
      '@stylistic/max-len': ['error', { code: 150, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }]
    }
  },
  {
    files: ['src/common/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        patterns: [
          { group: nodeIo, message: 'src/common is free of input and output.' },
          { group: ['**/runtime/**', '**/peer/**', '**/gateway/**', '**/scheduler/**', '**/operator/**'], message: 'src/common imports from no runtime folder.' },
          platform
        ]
      }]
    }
  },
  layer(['src/runtime/**/*.ts'], ['**/peer/**', '**/gateway/**', '**/scheduler/**', '**/operator/**'], 'runtime stands below these.'),
  layer(['src/peer/**/*.ts'], ['**/gateway/**', '**/scheduler/**', '**/operator/**'], 'peer stands below these.'),
  layer(['src/gateway/**/*.ts'], ['**/scheduler/**', '**/operator/**'], 'gateway and scheduler meet only in src/common/protocol.'),
  layer(['src/cell/**/*.ts'], ['**/gateway/**', '**/scheduler/**', '**/operator/**', '**/daemon/**'], 'cell stands beside these.'),
  layer(['platform/**/*.ts'], ['**/peer/**', '**/gateway/**', '**/scheduler/**', '**/operator/**', '**/daemon/**'], 'platform decides nothing.'),
  layer(['src/scheduler/**/*.ts'], ['**/gateway/**', '**/operator/**'], 'gateway and scheduler meet only in src/common/protocol.')
]
