import {z} from 'zod';

/** One host in the platform's answers. Fields that are not known here are ignored. */
export const hostSchema = z.object({
	host: z.string().min(1),
	intake: z.enum(['open', 'closed']),
	tasks: z.array(z.object({
		task: z.string().min(1),
		kind: z.string().default(''),
		elapsedMs: z.number().min(0),
		canCheckpoint: z.boolean().default(false),
		checkpoint: z.enum(['none', 'running', 'taken']).default('none'),
	})),
	reboot: z.object({
		id: z.string().min(1),
		state: z.enum(['running', 'finished', 'failed']),
	}).optional(),
});

/** A list of hosts in the platform's answers. */
export const hostListSchema = z.object({hosts: z.array(z.object({host: z.string().min(1)}))});
