import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'packages/wire/src/gen/**',
      'target/**',
    ],
  },
  js.configs.recommended,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    extends: [
      ...tseslint.configs.strictTypeChecked,
      ...tseslint.configs.stylisticTypeChecked,
    ],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
    },
  },
  {
    files: ['packages/*/src/**/*.module.ts'],
    rules: {
      // Nest modules are classes that only carry a decorator.
      '@typescript-eslint/no-extraneous-class': 'off',
    },
  },
  {
    files: ['platform/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {
        __dirname: 'readonly',
        module: 'writable',
        process: 'readonly',
        require: 'readonly',
      },
    },
  },
  {
    files: ['scripts/**/*.mjs', '*.js'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
  },
);
