import type {DataCentreId, NodeId, RegionId} from '@samphiremill/common';
import type {NodeAddress} from '@samphiremill/core';

/** An address to listen on. */
export type ListenAddress = {
	/** An IP number. */
	readonly host: string;
	/** 0 selects any free port. */
	readonly port: number;
};

/** Minimum level and format of the log lines. */
export type LogSettings = {
	readonly level: 'trace' | 'debug' | 'info' | 'warn' | 'error';
	readonly format: 'json' | 'pretty';
};

/** Limits on the requests to one entry host. */
export type LimitSettings = {
	/** Limit on the body of one request, in bytes; a queue may set a lower limit. */
	readonly maximumBodyBytes: number;
	/** Limit on the memory for all request bodies held at once, in bytes. */
	readonly bodyBudgetBytes: number;
	readonly maximumConnections: number;
};

/** What an operator may do: read only, or also change. */
export type OperatorRole = 'read' | 'write';

/** The access of one operator. Only a hash of the token is stored. */
export type OperatorAccess = {
	readonly name: string;
	readonly role: OperatorRole;
	/** SHA-256 of the token, in hexadecimal. */
	readonly tokenHash: string;
};

/** All settings of one daemon. */
export type Settings = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	readonly region: RegionId;
	readonly listen: {
		/** For callers, minions, the platform and operators. */
		readonly http: ListenAddress;
		/** For the other entry hosts. */
		readonly peers: ListenAddress;
	};
	/** All other entry hosts. */
	readonly peers: readonly NodeAddress[];
	/** The voters of the replicated log; this node need not be one of them. */
	readonly voters: readonly NodeId[];
	readonly isVoter: boolean;
	/** The folder of the durable state. Required for a voter. */
	readonly dataFolder?: string;
	readonly log: LogSettings;
	readonly limits: LimitSettings;
	/** Shared by all entry hosts; both ends of a peer link must prove that they know it. */
	readonly clusterSecret: string;
	readonly operators: readonly OperatorAccess[];
	/** The URL of the platform's interface; undefined without a platform. */
	readonly platformUrl?: string;
	/** The file with the records to apply while the replicated log is empty. */
	readonly seedRecordsFile?: string;
};
