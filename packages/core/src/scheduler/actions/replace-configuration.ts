import {createActiveConfiguration} from '../ledger.js';
import type {Ledger, LedgerOutcome, ParseConfiguration} from '../types.js';

/**
 * Puts a configuration in force if its version is higher than the current one; otherwise ignores it.
 *
 * @param document - The operator's document, which was validated before the command was proposed.
 */
export function replaceConfiguration(ledger: Ledger, document: string, parse: ParseConfiguration): LedgerOutcome {
	const configuration = parse(document);
	if (configuration === undefined || configuration.version <= (ledger.configuration?.version ?? Number.NEGATIVE_INFINITY)) {
		return {type: 'ignored'};
	}

	ledger.configuration = createActiveConfiguration(configuration, document);
	return {type: 'applied'};
}
