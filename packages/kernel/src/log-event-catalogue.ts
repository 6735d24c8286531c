import {LogEvent} from './log-events.js';

/** Meaning of a log event and the action for an operator. */
export interface LogEventEntry {
  readonly meaning: string;
  readonly action: string;
}

const NO_ACTION = 'nothing';

function entry(meaning: string, action = NO_ACTION): LogEventEntry {
  return {meaning, action};
}

/** Catalogue of log events, from which docs/log-events.md is written. */
export const LOG_EVENT_CATALOGUE: Readonly<Record<LogEvent, LogEventEntry>> = {
  [LogEvent.DaemonStarted]: entry(
    'The daemon has started all plug-ins; `addresses` names the ones in use by plug-in.',
  ),
  [LogEvent.DaemonDraining]: entry('A graceful stop has begun.'),
  [LogEvent.DaemonStopped]: entry(
    'The daemon has stopped with nothing in flight.',
  ),
  [LogEvent.DaemonStopForced]: entry(
    'A second signal ended the daemon; the line says what was cut.',
    'give drains more time before the second signal',
  ),
  [LogEvent.PluginStarted]: entry('A plug-in has started.'),
  [LogEvent.PluginFailed]: entry(
    'A plug-in could not start; the daemon ends.',
    'read the error; mostly an address in use or not reachable',
  ),
  [LogEvent.RequestFailed]: entry(
    'A request ended without a target\u2019s whole answer.',
  ),
  [LogEvent.RequestInternalError]: entry(
    'A fault of the daemon itself.',
    'report it with the line',
  ),
  [LogEvent.TargetEjected]: entry(
    'A target gets no new work because of its failures.',
    'look at the VM if it does not return',
  ),
  [LogEvent.TargetReturned]: entry('An ejected target gets work again.'),
  [LogEvent.TargetSilent]: entry(
    'A connection to a target went silent; its siblings are tested.',
    'look at the network path if it repeats',
  ),
  [LogEvent.LogUnavailable]: entry(
    'The platform\u2019s log cannot be reached; serving goes on with the last state.',
    'see docs/operations/platform-log-gone.md',
  ),
  [LogEvent.LogReturned]: entry('The platform\u2019s log answers again.'),
  [LogEvent.LogGap]: entry(
    'Records this daemon needs are no longer kept; it starts from a snapshot.',
    'check retention against snapshots if it repeats',
  ),
  [LogEvent.RecordRejected]: entry(
    'The fold did not accept a record; the line gives reason and detail.',
    'the writer was told; act only if it was you',
  ),
  [LogEvent.RecordUnreadable]: entry(
    'A record is of a newer format or damaged; it is kept out.',
    'finish the upgrade of the daemons',
  ),
  [LogEvent.StateHashDiffers]: entry(
    'Two daemons folded the same offset to different states.',
    'restart the one that differs from the rest and report it',
  ),
  [LogEvent.SnapshotWritten]: entry(
    'A snapshot of the folded state was appended.',
  ),
  [LogEvent.SnapshotLoaded]: entry('The daemon started from a snapshot.'),
  [LogEvent.SnapshotFailed]: entry(
    'A snapshot could not be written; the next daemon in line tries.',
    'check the platform\u2019s log if it repeats',
  ),
  [LogEvent.SnapshotSkipped]: entry(
    'A damaged or half-written snapshot was left out; an older one is used.',
    'report it if it repeats',
  ),
  [LogEvent.LogGapOpen]: entry(
    'Records this daemon needs are gone and no snapshot reaches over the gap; a daemon that runs serves on, a fresh one serves nothing.',
    'a running daemon writes a new snapshot by itself; if none runs, see docs/operations/platform-log-gone.md',
  ),
  [LogEvent.BundleInForce]: entry('A bundle came into force at this daemon.'),
  [LogEvent.BundleConflict]: entry(
    'Two bundles carry one version and differ.',
    'propose the loser again on the version in force',
  ),
  [LogEvent.ListUnavailable]: entry(
    'The list of VMs cannot be read; the last one is used.',
    'check the platform',
  ),
  [LogEvent.ListReturned]: entry('The list of VMs can be read again.'),
  [LogEvent.PeerConnected]: entry('A link to another daemon is up.'),
  [LogEvent.PeerLost]: entry(
    'A link to another daemon is down.',
    'check the network between data centres if it stays down',
  ),
  [LogEvent.PeerRefused]: entry(
    'A peer link was refused: wrong key or version.',
    'check peer keys and versions',
  ),
  [LogEvent.MemberReplaced]: entry(
    'A newer incarnation of this daemon\u2019s name is the member; this one agrees to nothing any more.',
    'stop this process, or give the two daemons two names',
  ),
  [LogEvent.MemberGone]: entry(
    'A daemon whose VM the platform no longer lists was taken out of the members.',
  ),
  [LogEvent.PlannerTermTaken]: entry(
    'This daemon plans for the fleet from here on.',
  ),
  [LogEvent.PlannerTermLost]: entry(
    'Another daemon plans for the fleet from here on.',
  ),
  [LogEvent.FleetDecision]: entry(
    'A decision about the fleet; `gentiandoor explain` shows its reasons.',
  ),
  [LogEvent.AnswersHandedOver]: entry(
    'Held answers of keyed requests went to another daemon before this one stopped.',
  ),
  [LogEvent.AnswersNotHandedOver]: entry(
    'This daemon stopped without handing its held answers over; retries are told that the key was run.',
    'check the links between daemons before the next planned stop',
  ),
  [LogEvent.JobTaken]: entry('A job was taken in: it is in the store.'),
  [LogEvent.JobRefused]: entry(
    'A job was not taken in, or its fate is not known; `answer` says which.',
    'look at the store lines around it',
  ),
  [LogEvent.JobCancelAsked]: entry(
    'A caller asked to cancel a job; `answer` says what it was told, `basis` why, and `ageMilliseconds` how old the data was on which that rests.',
  ),
  [LogEvent.JobEnded]: entry('A job has come to its end; `state` says how.'),
  [LogEvent.RunOrdered]: entry(
    'A run is stored and its order goes to the worker.',
  ),
  [LogEvent.RunEnded]: entry(
    'A run is over; `end` says how (`crashed`: its worker ended without warning, `lost`: it can not be reached or left as planned) and `effect` what follows.',
  ),
  [LogEvent.RunRefused]: entry(
    'A worker refused to start a run; `refusal` says why.',
  ),
  [LogEvent.RunStopped]: entry('A run that nobody expects is stopped.'),
  [LogEvent.RunStalled]: entry(
    'A run shows no progress any more; it is stopped and started elsewhere.',
  ),
  [LogEvent.TaskGivenUp]: entry(
    'Workers crash under a task: its job fails; `crashes` and `crashesAtStart` say how often.',
    'tell the caller which task it is',
  ),
  [LogEvent.TermTaken]: entry(
    'This daemon gives the orders from now on; `term` is the fencing token.',
  ),
  [LogEvent.TermLost]: entry(
    'This daemon gives no orders any more.',
    'look for the daemon that has taken the next term',
  ),
  [LogEvent.TermReleased]: entry(
    'This daemon gave its term back before its stop.',
  ),
  [LogEvent.RecoveryFinished]: entry(
    'The coordinator knows what the one before had ordered.',
  ),
  [LogEvent.WorkerFound]: entry('A worker has an entry in the store.'),
  [LogEvent.WorkerLeft]: entry(
    'The life of a worker is over; `reason` says how that is known, `hasCrashed` whether it ended without warning.',
  ),
  [LogEvent.WorkerSilent]: entry(
    'A worker does not answer.',
    'if it stays so, look at its VM and the way to it',
  ),
  [LogEvent.WorkerBack]: entry('A silent worker answers again.'),
  [LogEvent.WorkerLeaseOver]: entry(
    'Every lease on a silent worker has run out: its runs are over.',
  ),
  [LogEvent.WorkerSuspect]: entry(
    'A worker fails or stalls what others do well, and takes one task at a time for some seconds.',
  ),
  [LogEvent.RunCarriedOver]: entry(
    'A worker restarted under its id, and its new incarnation may still start the run; `isAnswered` says whether the start was answered.',
  ),
  [LogEvent.WorkerEntryInvalid]: entry(
    'The entry of a worker cannot be used, and the worker is given no starts; `reason` and `detail` say why. Logged once until it can be used again.',
    'look at what writes this entry, or add its service to the configuration',
  ),
  [LogEvent.WorkerEntryOutdated]: entry(
    'The store still shows the entry of an incarnation that is over; it is ignored.',
    'if it stays so, look at why the worker publishes no new entry',
  ),
  [LogEvent.StartUnanswered]: entry(
    'The order to start a run got no response, and may still be carried out; `reason` says how the call failed.',
  ),
  [LogEvent.VmOrdered]: entry(
    'A VM was told to move or to be maintained; `outcome` says what became of it.',
  ),
  [LogEvent.WaveSeen]: entry('Operators ask for a wave of maintenance.'),
  [LogEvent.WaveCompleted]: entry('Each VM of a wave has had its maintenance.'),
  [LogEvent.PoolSized]: entry(
    'What the size of a pool is decided from, when it changes: VMs that take work, are coming and may leave, and work in use, waiting and arriving, in VMs.',
  ),
  [LogEvent.WorkStands]: entry(
    'Ready tasks of a service have stood for over a second and none was placed; the line says when and why its last round was, why that round left them, and why workers accept no starts.',
    'look for more VMs where the reason is `capacity`; report it where workers are idle',
  ),
  [LogEvent.ProgressNotStored]: entry(
    'The coordinator has waited for over a second for the store to keep the progress of jobs; no run starts until it does.',
    'look at the store; report it if other daemons can append',
  ),
  [LogEvent.WorkOverlooked]: entry(
    'Tasks that had stood for over a second were placed by a round that no event had announced; the line says why the round before left tasks.',
    'report it with the line: a wake-up is missing',
  ),
  [LogEvent.ConfigurationInForce]: entry(
    'A configuration is in force at this daemon.',
  ),
  [LogEvent.StoreLost]: entry(
    'The platform\u2019s store does not answer this daemon.',
    'look whether other daemons reach it',
  ),
  [LogEvent.StoreBack]: entry('The platform\u2019s store answers again.'),
  [LogEvent.SettingsChanged]: entry(
    'The settings file has changed and was read again.',
  ),
  [LogEvent.SettingsUnreadable]: entry(
    'The settings file can\u2019t be read; the last good one stays.',
    'correct the file',
  ),
  [LogEvent.LinesLeftOut]: entry(
    'Log lines of one kind were left out to bound the volume; `count` says how many.',
  ),
  [LogEvent.CallerLeft]: entry(
    'A caller closed its connection before the answer to its call; `status` is the answer that it did not get.',
  ),
  [LogEvent.CallRefused]: entry(
    'A call was not let in; `reason` says why: its key is not known, the configuration is too old to tell, or the job is another organisation\u2019s.',
    'see docs/OPERATIONS.md, a key lost or revoked',
  ),
  [LogEvent.OrganisationUnreadable]: entry(
    'The settings of an organisation can\u2019t be read; it stays as it was, the others are in force.',
    'correct the field that `reason` names and publish again',
  ),
  [LogEvent.OrganisationKeyShared]: entry(
    'Organisations hold the same key, which therefore opens nothing.',
    'give each of them a key of its own',
  ),
  [LogEvent.OrganisationAtLimit]: entry(
    'Work of an organisation waits since more would be over its limit; told once a second at most.',
    'raise its limit if the room is there for it',
  ),
  [LogEvent.PressureBegan]: entry(
    'Work has waited for capacity; the coordinator reports it to all daemons until it does not any more.',
  ),
  [LogEvent.PressureOver]: entry('No work waits for capacity any more.'),
  [LogEvent.PressureReportDropped]: entry(
    'A report about waiting work was not stored and is not repeated; told once until one is stored again.',
    'look whether the store answers the coordinator; meanwhile every job is accepted',
  ),
  [LogEvent.PressureReportIgnored]: entry(
    'A daemon did not use a report about waiting work: it can\u2019t be read, or is not later than the one in use.',
    'if it can\u2019t be read, look whether the daemons have the same version',
  ),
  [LogEvent.RunPreempted]: entry(
    'A run is to be stopped so that a task of `job` starts in time, or so that its VM can change its pool (reason `vm_needed_by_other_pool`, without `job`); `reason` says why it may be, `lostMillicoreMilliseconds`, `gainedMillicoreMilliseconds` and `cost` (lost per gained) what it costs, `preemptions` how often its task was stopped for other work.',
    'see docs/design/preemption.md if one job is stopped again and again',
  ),
  [LogEvent.PreemptionBudgetExhausted]: entry(
    'Urgent work waits although runs could be stopped for it, since the pool has lost as much work as it may; logged at most once a second for each service.',
    'if it stays so, the pool is too small for its urgent work',
  ),
  [LogEvent.PreemptionWithdrawn]: entry(
    'A run that was to be stopped for other work is not; `reason` says why: it has ended, the waiting task needs no room any more, or the store took too long to record the decision.',
    'nothing, unless it is frequent',
  ),
  [LogEvent.OrganisationOverEntitlement]: entry(
    'An organisation submits more jobs per second than its weight entitles it to; the excess jobs come after entitled jobs while capacity is short. Logged once until the organisation is within its rate again.',
    'raise its weight if it should be guaranteed this rate',
  ),
  [LogEvent.OrganisationWithinEntitlement]: entry(
    'An organisation has submitted no excess job for three seconds; `jobs` is the number of its excess jobs, `milliseconds` the time from the first to the last.',
    'nothing; it may be exceeded again',
  ),
  [LogEvent.JobNotStorable]: entry(
    'The store does not take the progress of a job, also without checkpoints, so that nothing of it could be started safely: the job ends as failed, the others go on.',
    'compare the size of the job with the largest record that the store takes',
  ),
  [LogEvent.RecordNotStorable]: entry(
    'The store does not take a record about a job, whatever is left out of it; what it says is lost with the coordinator.',
    'report it with the line',
  ),
  [LogEvent.ConfigurationPartUnreadable]: entry(
    'A queue or service of a configuration can not be read; `part` is its list and place. It is not in force, the rest of the version is.',
    'correct the part in the next version',
  ),
  [LogEvent.TaskFailed]: entry(
    'A task failed unexpectedly: `task` and, where it has one, the element that it was about. It is tried again, and everything else goes on; only if `task` is `coordinator`, the daemon ends.',
    'report it with the line',
  ),
};
