import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import ts from 'typescript-eslint';

/** Lines of a function and of a file, blank lines and comments aside. */
const FUNCTION_LINES = 40;
const FILE_LINES = 300;
const TEST_FILE_LINES = 500;

const bounds = (fileLines, functionLines) => ({
  'max-lines': ['error', { max: fileLines, skipBlankLines: true, skipComments: true }],
  ...(functionLines === null
    ? {}
    : {
        'max-lines-per-function': [
          'error',
          { max: functionLines, skipBlankLines: true, skipComments: true },
        ],
      }),
});

export default ts.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...ts.configs.strict,
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { project: './tsconfig.test.json' } },
    rules: {
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      // Promises are awaited, or marked as not waited for with `void`.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['test', 'before', 'after', 'beforeEach'],
              package: 'node:test',
            },
          ],
        },
      ],
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
      '@typescript-eslint/await-thenable': 'error',
      '@typescript-eslint/only-throw-error': 'error',
      '@typescript-eslint/prefer-promise-reject-errors': ['error', { allowThrowingUnknown: true }],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/no-unnecessary-type-assertion': 'error',
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'inline-type-imports', disallowTypeAnnotations: false },
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'typeLike', format: ['PascalCase'] },
        {
          selector: ['function', 'classMethod'],
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
        { selector: 'enumMember', format: ['PascalCase'] },
      ],
    },
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['**/*.d.ts'],
    plugins: { jsdoc },
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration', 'ClassDeclaration'],
          require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
          enableFixer: false,
        },
      ],
      ...bounds(FILE_LINES, FUNCTION_LINES),
    },
  },
  // A composition root names every part once: divided, it would hide who knows whom.
  { files: ['src/controller/composition.ts'], rules: { 'max-lines': 'off' } },
  { files: ['test/**/*.ts', 'scripts/**/*.ts'], rules: bounds(TEST_FILE_LINES, null) },
);
