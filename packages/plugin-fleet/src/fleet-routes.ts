import {previewScope, previewWave} from '@gentiandoor/fleet';
import {
  AdminMethod,
  SubjectKind,
  type AdminHandler,
  type AdminRoutes,
  type DecisionJournal,
} from '@gentiandoor/kernel';
import {
  MoveCause,
  RecordKind,
  WaveChange,
  plannerOf,
  type SharedState,
} from '@gentiandoor/shared-state';
import type {z} from 'zod';
import {BadInputError, readHandler, recordHandler} from './admin-responses.js';
import {
  drainRequestSchema,
  moveRequestSchema,
  returnRequestSchema,
  waveRequestSchema,
} from './admin-schemas.js';
import {
  FleetPath,
  type ExplainBody,
  type WavePreviewBody,
} from './admin-shapes.js';
import {budgetsBody, poolBodies, vmBodies, waveBodies} from './fleet-views.js';
import type {FleetPublisher, RecordWithoutId} from './fleet-publisher.js';
import type {WaveForecasts} from './wave-forecasts.js';

const SUBJECT_KINDS: ReadonlySet<string> = new Set(Object.values(SubjectKind));
const WAVE_CHANGES = {
  hold: WaveChange.Hold,
  resume: WaveChange.Resume,
  abort: WaveChange.Abort,
} as const;

/** Components that the routes depend on. */
export interface FleetRoutesDependencies {
  readonly adminRoutes: AdminRoutes;
  readonly decisionJournal: DecisionJournal;
  readonly sharedState: SharedState;
  readonly fleetPublisher: FleetPublisher;
  readonly waveForecasts: WaveForecasts;
}

/** Admin paths for drains, moves, waves and the state of the fleet. */
export class FleetRoutes {
  constructor(private readonly dependencies: FleetRoutesDependencies) {
    const {adminRoutes} = dependencies;
    const get = (path: FleetPath, handler: AdminHandler) =>
      adminRoutes.add(AdminMethod.Get, path, handler);
    const post = (path: FleetPath, handler: AdminHandler) =>
      adminRoutes.add(AdminMethod.Post, path, handler);
    const {fleetPublisher, waveForecasts} = dependencies;
    post(
      FleetPath.Drains,
      recordHandler(fleetPublisher, drainRequestSchema, drainRecord),
    );
    post(
      FleetPath.Returns,
      recordHandler(fleetPublisher, returnRequestSchema, body =>
        this.returnRecord(body),
      ),
    );
    post(
      FleetPath.Moves,
      recordHandler(fleetPublisher, moveRequestSchema, body =>
        this.moveRecord(body),
      ),
    );
    post(
      FleetPath.Waves,
      recordHandler(fleetPublisher, waveRequestSchema, waveRecord),
    );
    get(
      FleetPath.Vms,
      readHandler(query => vmBodies(this.state, query)),
    );
    get(
      FleetPath.Pools,
      readHandler(() => poolBodies(this.state)),
    );
    get(
      FleetPath.Budgets,
      readHandler(() => budgetsBody(this.state)),
    );
    get(
      FleetPath.Waves,
      readHandler(() =>
        waveBodies(this.state, wave =>
          waveForecasts.remainingMilliseconds(wave),
        ),
      ),
    );
    get(
      FleetPath.WavePreview,
      readHandler(query => this.previewWave(query)),
    );
    get(
      FleetPath.Explain,
      readHandler(query => this.explain(query)),
    );
  }

  private get state() {
    return this.dependencies.sharedState.state;
  }

  private moveRecord(
    body: z.output<typeof moveRequestSchema>,
  ): RecordWithoutId {
    const {vm, reason, operator: writer} = body;
    if (body.action === 'abort') {
      const startedAt = this.state.work.get(vm)?.startedAt ?? 0;
      return {kind: RecordKind.MoveAborted, writer, vm, startedAt, reason};
    }
    if (body.toPool === undefined)
      throw new BadInputError('toPool: expected the pool that the VM moves to');
    return {
      kind: RecordKind.MoveStarted,
      writer,
      vm,
      epoch: this.state.vms.get(vm)?.epoch ?? 0,
      toPool: body.toPool,
      cause: MoveCause.Operator,
      reason,
    };
  }

  private returnRecord(
    body: z.output<typeof returnRequestSchema>,
  ): RecordWithoutId {
    const {vm, operator: writer} = body;
    const startedAt = this.state.work.get(vm)?.startedAt;
    return {kind: RecordKind.DrainEnded, writer, vm, startedAt};
  }

  private previewWave(
    query: Readonly<Record<string, string>>,
  ): WavePreviewBody {
    const {wave: id, pools, dataCentres} = query;
    if (id === undefined) {
      return previewScope(this.state, {
        pools: pools?.split(','),
        dataCentres: dataCentres?.split(','),
      });
    }
    const wave = this.state.waves.get(id);
    if (!wave) throw new BadInputError(`no wave ${id}; see ${FleetPath.Waves}`);
    return previewWave(this.state, wave);
  }

  private explain(query: Readonly<Record<string, string>>): ExplainBody {
    const {subject = '', id = ''} = query;
    if (!SUBJECT_KINDS.has(subject) || id === '') {
      throw new BadInputError(
        `expected subject, one of ${[...SUBJECT_KINDS].join(', ')}, and id`,
      );
    }
    const {holder} = plannerOf(this.state);
    return {
      subject,
      id,
      planner: this.state.members.get(holder)?.name ?? '',
      decisions: this.dependencies.decisionJournal.entriesAbout(
        subject as SubjectKind,
        id,
      ),
    };
  }
}

function drainRecord(
  body: z.output<typeof drainRequestSchema>,
): RecordWithoutId {
  const {vm, reason, operator: writer} = body;
  return {kind: RecordKind.DrainStarted, writer, vm, reason};
}

function waveRecord(body: z.output<typeof waveRequestSchema>): RecordWithoutId {
  const {wave, reason, operator: writer, scope} = body;
  if (body.action === 'start')
    return {kind: RecordKind.WaveStarted, writer, wave, reason, scope};
  const change = WAVE_CHANGES[body.action];
  return {kind: RecordKind.WaveChanged, writer, wave, change, reason};
}
