import assert from 'node:assert/strict';
import {AdminMethod, type AdminResponse} from '@gentiandoor/kernel';
import type {FleetPath} from '../admin-shapes.js';
import type {FleetHarness} from './fleet-harness.js';

/** Calls an admin path of one daemon and advances virtual time until it responds. */
export async function call(
  fleet: FleetHarness,
  method: AdminMethod,
  path: FleetPath,
  input: {readonly query?: Record<string, string>; readonly body?: unknown},
  daemon = 0,
): Promise<AdminResponse> {
  const handler = fleet.daemons[daemon].routes.find(method, path);
  assert.ok(handler);
  const {query = {}, body} = input;
  const response = handler({path, query, body});
  await fleet.run(6000);
  return response;
}

/** Posts a body to an admin path of the first daemon. */
export function post(
  fleet: FleetHarness,
  path: FleetPath,
  body: unknown,
): Promise<AdminResponse> {
  return call(fleet, AdminMethod.Post, path, {body});
}

/** Gets an admin path of the first daemon. */
export function get(
  fleet: FleetHarness,
  path: FleetPath,
  query: Record<string, string> = {},
): Promise<AdminResponse> {
  return call(fleet, AdminMethod.Get, path, {query});
}
