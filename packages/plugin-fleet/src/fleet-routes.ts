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
import {BadInput, reading, writing} from './admin-answers.js';
import {
  drainRequest,
  moveRequest,
  returnRequest,
  waveRequest,
} from './admin-schemas.js';
import {
  FleetPath,
  type ExplainBody,
  type WavePreviewBody,
} from './admin-shapes.js';
import {budgetsBody, poolBodies, vmBodies, waveBodies} from './fleet-views.js';
import type {FleetPublisher, UnnamedRecord} from './fleet-publisher.js';
import type {WaveForecasts} from './wave-forecasts.js';

const SUBJECTS: ReadonlySet<string> = new Set(Object.values(SubjectKind));
const WAVE_CHANGES = {
  hold: WaveChange.Hold,
  resume: WaveChange.Resume,
  abort: WaveChange.Abort,
} as const;

/** What the routes need. */
export interface FleetRoutesDependencies {
  readonly adminRoutes: AdminRoutes;
  readonly decisionJournal: DecisionJournal;
  readonly sharedState: SharedState;
  readonly fleetPublisher: FleetPublisher;
  readonly waveForecasts: WaveForecasts;
}

/** The operators' paths to drains, moves, waves and what is known of the fleet. */
export class FleetRoutes {
  constructor(private readonly dependencies: FleetRoutesDependencies) {
    const {adminRoutes} = dependencies;
    const get = (path: FleetPath, handler: AdminHandler) =>
      adminRoutes.add(AdminMethod.Get, path, handler);
    const post = (path: FleetPath, handler: AdminHandler) =>
      adminRoutes.add(AdminMethod.Post, path, handler);
    const {fleetPublisher: publisher, waveForecasts} = dependencies;
    post(FleetPath.Drains, writing(publisher, drainRequest, drainRecord));
    post(
      FleetPath.Returns,
      writing(publisher, returnRequest, body => this.returnRecord(body)),
    );
    post(
      FleetPath.Moves,
      writing(publisher, moveRequest, body => this.moveRecord(body)),
    );
    post(FleetPath.Waves, writing(publisher, waveRequest, waveRecord));
    get(
      FleetPath.Vms,
      reading(query => vmBodies(this.state, query)),
    );
    get(
      FleetPath.Pools,
      reading(() => poolBodies(this.state)),
    );
    get(
      FleetPath.Budgets,
      reading(() => budgetsBody(this.state)),
    );
    get(
      FleetPath.Waves,
      reading(() =>
        waveBodies(this.state, wave => waveForecasts.remaining(wave)),
      ),
    );
    get(
      FleetPath.WavePreview,
      reading(query => this.previewWave(query)),
    );
    get(
      FleetPath.Explain,
      reading(query => this.explain(query)),
    );
  }

  private get state() {
    return this.dependencies.sharedState.state;
  }

  private moveRecord(body: z.output<typeof moveRequest>): UnnamedRecord {
    const {vm, reason, operator: writer} = body;
    if (body.action === 'abort') {
      const startedAt = this.state.work.get(vm)?.startedAt ?? 0;
      return {kind: RecordKind.MoveAborted, writer, vm, startedAt, reason};
    }
    if (body.toPool === undefined)
      throw new BadInput('toPool: expected the pool that the VM moves to');
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

  private returnRecord(body: z.output<typeof returnRequest>): UnnamedRecord {
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
    if (!wave) throw new BadInput(`no wave ${id}; see ${FleetPath.Waves}`);
    return previewWave(this.state, wave);
  }

  private explain(query: Readonly<Record<string, string>>): ExplainBody {
    const {subject = '', id = ''} = query;
    if (!SUBJECTS.has(subject) || id === '') {
      throw new BadInput(
        `expected subject, one of ${[...SUBJECTS].join(', ')}, and id`,
      );
    }
    const {holder} = plannerOf(this.state);
    return {
      subject,
      id,
      planner: this.state.members.get(holder)?.name ?? '',
      decisions: this.dependencies.decisionJournal.about(
        subject as SubjectKind,
        id,
      ),
    };
  }
}

function drainRecord(body: z.output<typeof drainRequest>): UnnamedRecord {
  const {vm, reason, operator: writer} = body;
  return {kind: RecordKind.DrainStarted, writer, vm, reason};
}

function waveRecord(body: z.output<typeof waveRequest>): UnnamedRecord {
  const {wave, reason, operator: writer, scope} = body;
  if (body.action === 'start')
    return {kind: RecordKind.WaveStarted, writer, wave, reason, scope};
  const change = WAVE_CHANGES[body.action];
  return {kind: RecordKind.WaveChanged, writer, wave, change, reason};
}
