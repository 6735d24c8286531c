/**
 * Resolves the named dependencies from the container's proxy once.
 *
 * `awilix` resolves a dependency by name at every access to the proxy that it passes to
 * constructors. Code on the request path would pay that cost several times per request.
 */
export function resolveDependencies<
  Parts extends object,
  Name extends keyof Parts,
>(parts: Parts, ...names: readonly Name[]): Pick<Parts, Name> {
  const resolved: Partial<Pick<Parts, Name>> = {};
  for (const name of names) resolved[name] = parts[name];
  return resolved as Pick<Parts, Name>;
}
