// Prints what a processor profile spends its time on, by function: its own code, and with all that it calls.
// Use: node scripts/sum-profile.js FILE [ROWS]
import {readFileSync} from 'node:fs';
import process from 'node:process';

const [file, rows = '40'] = process.argv.slice(2);
const profile = JSON.parse(readFileSync(file, 'utf8'));
const usPerMs = 1000;
const nodes = new Map(profile.nodes.map(node => [node.id, node]));
const waiting = new Set(['(idle)', '(program)']);

const nameNode = ({callFrame: {functionName, url, lineNumber}}) =>
	`${functionName === '' ? '(anonymous)' : functionName} ${url.split('/').slice(-2).join('/')}:${lineNumber + 1}`;

// A longer gap between two samples is time in which other processes ran.
const longestSampleUs = 1000;
const ownUs = new Map();
for (const [index, id] of profile.samples.entries()) {
	ownUs.set(id, (ownUs.get(id) ?? 0) + Math.min(longestSampleUs, profile.timeDeltas[index + 1] ?? 0));
}

const own = new Map();
const withCalls = new Map();

const add = (sums, name, us) => {
	sums.set(name, (sums.get(name) ?? 0) + us);
};

// A function that calls itself counts once.
const visit = (id, callers) => {
	const node = nodes.get(id);
	const name = nameNode(node);
	const us = ownUs.get(id) ?? 0;
	const path = new Set(callers).add(name);
	add(own, name, us);
	for (const caller of path) {
		add(withCalls, caller, us);
	}

	for (const child of node.children ?? []) {
		visit(child, path);
	}
};

visit(profile.nodes[0].id, new Set());

const busyUs = [...own].filter(([name]) => !waiting.has(name.split(' ')[0])).reduce((sum, [, us]) => sum + us, 0);
const print = (title, sums) => {
	console.log(`\n${title}`);
	for (const [name, us] of [...sums].toSorted((left, right) => right[1] - left[1]).slice(0, Number(rows))) {
		console.log(`${(us / usPerMs).toFixed(0).padStart(7)} ms ${(100 * us / busyUs).toFixed(1).padStart(5)} %  ${name}`);
	}
};

const {user, system} = profile.processorUs ?? {};
const formatMs = us => `${(us / usPerMs).toFixed(0)} ms`;
console.log(`${formatMs(profile.endTime - profile.startTime)}, in functions ${formatMs(busyUs)}; processor time: user ${formatMs(user)}, system ${formatMs(system)}`);
print('own code', own);
print('with all that it calls', withCalls);
