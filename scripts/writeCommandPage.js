// Generates docs/COMMANDS.md from the definitions of the commands.
import { writeFileSync } from 'node:fs';
import { Config, settings } from '@oclif/core';
import { renderCommandPage } from '../dist/app/commandPage.js';

settings.enableAutoTranspile = false;
const config = await Config.load(import.meta.url);
writeFileSync(new URL('../docs/COMMANDS.md', import.meta.url), renderCommandPage(config));
