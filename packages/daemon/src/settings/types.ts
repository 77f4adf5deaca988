import type {DataCentreId, NodeId, RegionId} from '@samphiremill/common';
import type {NodeAddress} from '@samphiremill/core';

/** An address to listen on. */
export type ListenAddress = {
	/** An IP number. */
	readonly host: string;
	/** 0 lets the system choose. */
	readonly port: number;
};

/** How log lines are written. */
export type LogSettings = {
	readonly level: 'trace' | 'debug' | 'info' | 'warn' | 'error';
	readonly format: 'json' | 'pretty';
};

/** Bounds on what one entry host takes in. */
export type LimitSettings = {
	/** The largest body of one request, in bytes; a queue may set a lower bound. */
	readonly maximumBodyBytes: number;
	/** The memory that all request bodies held at once may take, in bytes. */
	readonly bodyBudgetBytes: number;
	readonly maximumConnections: number;
};

/** What an operator may do. */
export type OperatorRole = 'read' | 'write';

/** One operator's access. Only the hash of the token is kept. */
export type OperatorAccess = {
	readonly name: string;
	readonly role: OperatorRole;
	/** SHA-256 of the token in hexadecimal. */
	readonly tokenHash: string;
};

/** All settings of one daemon. */
export type Settings = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	readonly region: RegionId;
	readonly listen: {
		/** Callers, minions, the platform and operators. */
		readonly http: ListenAddress;
		/** The other entry hosts. */
		readonly peers: ListenAddress;
	};
	/** Every other entry host. */
	readonly peers: readonly NodeAddress[];
	/** The voters of the replicated log, this node among them or not. */
	readonly voters: readonly NodeId[];
	readonly isVoter: boolean;
	/** Where durable state lives. A voter has one. */
	readonly dataFolder?: string;
	readonly log: LogSettings;
	readonly limits: LimitSettings;
	/** Shared by all entry hosts; peer links prove that they know it. */
	readonly clusterSecret: string;
	readonly operators: readonly OperatorAccess[];
	/** The platform's interface, where there is one. */
	readonly platformUrl?: string;
	/** Records to apply when the replicated log is empty. */
	readonly seedRecordsFile?: string;
};
