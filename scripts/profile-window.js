// Preloaded into processes (`node --import`): writes a processor profile of one span of each process's life.
// Settings: SAMPHIREMILL_PROFILE=FOLDER,AFTER_S,FOR_S. The summary is printed by scripts/sum-profile.js.
import {writeFileSync} from 'node:fs';
import inspector from 'node:inspector';
import path from 'node:path';
import process from 'node:process';

const [folder, afterS = '8', forS = '5'] = (process.env.SAMPHIREMILL_PROFILE ?? '').split(',');
const msPerSecond = 1000;
const samplingIntervalUs = 500;

const recordProfile = file => {
	const session = new inspector.Session();
	session.connect();
	session.post('Profiler.enable');
	session.post('Profiler.setSamplingInterval', {interval: samplingIntervalUs});
	session.post('Profiler.start');
	const usedBefore = process.cpuUsage();
	setTimeout(() => {
		const {user, system} = process.cpuUsage(usedBefore);
		session.post('Profiler.stop', (err, result) => {
			if (err === null) {
				writeFileSync(file, JSON.stringify({...result.profile, processorUs: {user, system}}));
			}
		});
	}, Number(forS) * msPerSecond).unref();
};

const nodeFile = process.env.SAMPHIREMILL_NODE_FILE;
if (folder !== '' && nodeFile !== undefined) {
	setTimeout(() => {
		recordProfile(path.join(folder, `${path.basename(nodeFile, '.json')}.cpuprofile`));
	}, Number(afterS) * msPerSecond).unref();
}
