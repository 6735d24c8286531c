/** An operator's request to the admin port, already authenticated. */
export interface AdminRequest {
  readonly path: string;
  /** Query parameters; of a repeated parameter, the first value. */
  readonly query: Readonly<Record<string, string>>;
  /** Parsed JSON body of a POST; undefined otherwise. */
  readonly body: unknown;
}

/** Response of the admin port. */
export interface AdminResponse {
  readonly status: number;
  /** Serialised as JSON. */
  readonly body: unknown;
}

/** Handles the requests to one path of the admin port. */
export type AdminHandler = (request: AdminRequest) => Promise<AdminResponse>;

/** HTTP methods of the admin port: GET reads state, POST changes it. */
export enum AdminMethod {
  Get = 'GET',
  Post = 'POST',
}

/** Registry of the admin port's paths; each plug-in adds its own. */
export class AdminRoutes {
  private readonly handlers = new Map<string, AdminHandler>();

  /** Adds a path such as `/vms`; throws if it was already added, which is a programming error. */
  add(method: AdminMethod, path: string, handler: AdminHandler): void {
    const key = `${method} ${path}`;
    if (this.handlers.has(key))
      throw new Error(`admin path ${key} added twice`);
    this.handlers.set(key, handler);
  }

  find(method: string, path: string): AdminHandler | undefined {
    return this.handlers.get(`${method} ${path}`);
  }

  /** Returns all paths with their methods, sorted. */
  list(): string[] {
    return [...this.handlers.keys()].sort();
  }
}
