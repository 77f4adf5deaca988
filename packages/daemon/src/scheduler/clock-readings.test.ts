import {expect, test} from 'vitest';
import {createClockReadings} from './clock-readings.js';

const hourMs = 3_600_000;
const answerTimeMs = 700;

const createReader = () => {
	const readings = createClockReadings();
	return (minionClockMs: number, sentAtMs: number) => {
		const reading = {minionClockMs, sentAtMs, receivedAtMs: sentAtMs + answerTimeMs};
		readings.record(reading);
		return readings.getLatest() === reading;
	};
};

test('readings of a clock that is at most 2 % slow are believed, however long their answers take', () => {
	for (const rate of [0.98, 1]) {
		const isBelieved = createReader();
		for (const [sentAtMs, readAtMs] of [[0, 0], [700, 1400], [1400, 1400], [20_000, 20_700], [80_000, 80_000]] as const) {
			expect(isBelieved(Math.floor(readAtMs * rate), sentAtMs)).toBe(true);
		}
	}
});

test('a single reading that is an hour ahead is not believed, and those after it are', () => {
	const isBelieved = createReader();
	expect([isBelieved(100, 0), isBelieved(hourMs, 700), isBelieved(1500, 1400)]).toEqual([true, false, true]);
});

test('a clock that stays ahead after this host stood still is believed from the second reading on', () => {
	const isBelieved = createReader();
	expect([isBelieved(100, 0), isBelieved(60_000, 700), isBelieved(60_700, 1400), isBelieved(61_400, 2100)]).toEqual([true, false, true, true]);
});

test('two false readings that do not fit each other are not believed', () => {
	const isBelieved = createReader();
	expect([isBelieved(100, 0), isBelieved(hourMs, 700), isBelieved(2 * hourMs, 1400), isBelieved(hourMs / 2, 2100)]).toEqual([true, false, false, false]);
});

test('a reading that is behind is believed at once: it makes leases count as valid for longer', () => {
	const isBelieved = createReader();
	expect([isBelieved(100_000, 0), isBelieved(50, 700)]).toEqual([true, true]);
});
