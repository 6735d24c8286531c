import type {PlannedWork} from '@gentiandoor/shared-state';

/**
 * Names one attempt on a VM towards the platform. Two planners that both ask for it ask for
 * the same action, and the platform does it once.
 */
export function actionId(work: PlannedWork): string {
  return `${work.vm}/${work.startedAt}/${work.attempts}`;
}
