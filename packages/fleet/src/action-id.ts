import type {PlannedWork} from '@gentiandoor/shared-state';

/**
 * Returns the identifier of one attempt on a VM for the platform. Two planners that both request it
 * request the same action, so the platform performs it once.
 */
export function actionId(work: PlannedWork): string {
  return `${work.vm}/${work.startedAt}/${work.attempts}`;
}
