// Generates docs/EVENTS.md from the event catalogue.
import { writeFileSync } from 'node:fs';
import { renderEventPage } from '../dist/packages/core/events/eventPage.js';

writeFileSync(new URL('../docs/EVENTS.md', import.meta.url), renderEventPage());
