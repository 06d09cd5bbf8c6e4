// Generates docs/SETTINGS.md from the settings schemas.
import { writeFileSync } from 'node:fs';
import { renderSettingsPage } from '../dist/packages/settings/page.js';

writeFileSync(new URL('../docs/SETTINGS.md', import.meta.url), renderSettingsPage());
