import {createActiveConfiguration} from '../ledger.js';
import type {Ledger, LedgerOutcome, ParseConfiguration} from '../types.js';

/**
 * Puts a configuration in force if its version is higher than the present one.
 *
 * @param ledger - The ledger.
 * @param document - The operator's text, checked before it was proposed.
 * @param parse - Reads the text.
 * @returns Whether it took effect.
 */
export function replaceConfiguration(ledger: Ledger, document: string, parse: ParseConfiguration): LedgerOutcome {
	const configuration = parse(document);
	if (configuration === undefined || configuration.version <= (ledger.configuration?.version ?? Number.NEGATIVE_INFINITY)) {
		return {type: 'ignored'};
	}

	ledger.configuration = createActiveConfiguration(configuration, document);
	return {type: 'applied'};
}
