// Without a handler, a signal during the start would end the process; the settings are read later.
process.on('SIGHUP', () => undefined);

const {runDaemon} = await import('../run-daemon.js');
await runDaemon();
