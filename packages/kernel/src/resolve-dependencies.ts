/**
 * Takes the named parts out of the container's proxy, once.
 *
 * `awilix` resolves a part by name at every access to the proxy that it passes to
 * constructors. Code that runs for each request would pay for that several times a request.
 */
export function resolveDependencies<
  Parts extends object,
  Name extends keyof Parts,
>(parts: Parts, ...names: readonly Name[]): Pick<Parts, Name> {
  const taken: Partial<Pick<Parts, Name>> = {};
  for (const name of names) taken[name] = parts[name];
  return taken as Pick<Parts, Name>;
}
