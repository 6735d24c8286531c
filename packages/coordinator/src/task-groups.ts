import type {ExecutableTask} from '@gentiandoor/jobs';

/**
 * Groups the tasks that start together: the members of a gang form one group, every other
 * task its own.
 */
export function groupsOf(ready: readonly ExecutableTask[]): ExecutableTask[][] {
  const gangs = new Map<string, ExecutableTask[]>();
  const groups: ExecutableTask[][] = [];
  for (const task of ready) {
    if (!task.specification.gang) {
      groups.push([task]);
      continue;
    }
    const key = `${task.occurrence}.${task.step}`;
    let members = gangs.get(key);
    if (!members) {
      members = [];
      gangs.set(key, members);
      groups.push(members);
    }
    members.push(task);
  }
  return groups.filter(isWholeGroup);
}

/**
 * Returns whether a group is complete. A gang waits until no run of any member is left,
 * so that members of different runs never meet.
 */
function isWholeGroup(tasks: readonly ExecutableTask[]): boolean {
  const {gang, taskCount} = tasks[0].specification;
  return !gang || tasks.length === taskCount;
}
