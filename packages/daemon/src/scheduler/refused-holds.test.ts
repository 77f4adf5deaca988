import {expect, test} from 'vitest';
import {createTestWorld} from './test-world.js';

const firstAddress = '10.0.0.1:80';

const createWorld = () => {
	let holdCount = 0;
	const world = createTestWorld({
		seed: 51,
		minionCount: 2,
		alterPort: port => ({
			...port,
			async hold(order) {
				holdCount += order.target.address === firstAddress ? 1 : 0;
				return port.hold(order);
			},
		}),
	});
	return {world, countHolds: () => holdCount};
};

// The leader called each worker under maintenance four times a second, until another incarnation joined (incident 51).
test('a minion without runs where no process listens is called rarely', async () => {
	const {world, countHolds} = createWorld();
	await world.advance(1500);
	const before = countHolds();
	world.crashVisibly(0);
	await world.advance(8000);
	expect(countHolds() - before).toBeLessThanOrEqual(8);
	expect(world.listViolations()).toEqual([]);
});

test('a minion that reports after a cut with resets gets work again at once', async () => {
	const {world} = createWorld();
	await world.advance(1500);
	world.cutWithResets(0, 5000);
	await world.advance(5000);
	const startsBefore = world.countStartsOn(0);
	// Its next report comes within half a second.
	await world.advance(700);
	world.submit([{count: 16, estimateMs: 500}]);
	await world.advance(300);
	expect(world.countStartsOn(0)).toBeGreaterThan(startsBefore);
	expect(world.listViolations()).toEqual([]);
});
