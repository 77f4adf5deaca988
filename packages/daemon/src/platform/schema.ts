import * as z from 'zod/mini';

/** One host in the platform's answers. Unknown fields are ignored. */
export const hostSchema = z.object({
	host: z.string().check(z.minLength(1)),
	intake: z.enum(['open', 'closed']),
	tasks: z.array(z.object({
		task: z.string().check(z.minLength(1)),
		kind: z._default(z.string(), ''),
		elapsedMs: z.number().check(z.minimum(0)),
		canCheckpoint: z._default(z.boolean(), false),
		checkpoint: z._default(z.enum(['none', 'running', 'taken']), 'none'),
	})),
	reboot: z.optional(z.object({
		id: z.string().check(z.minLength(1)),
		state: z.enum(['running', 'finished', 'failed']),
	})),
});

/** A list of hosts in the platform's answers. */
export const hostListSchema = z.object({hosts: z.array(z.object({host: z.string().check(z.minLength(1))}))});
