/** An operator's call on the admin port, already authenticated. */
export interface AdminRequest {
  readonly path: string;
  /** Query parameters; the first value of each. */
  readonly query: Readonly<Record<string, string>>;
  /** Parsed JSON body of a POST; undefined otherwise. */
  readonly body: unknown;
}

/** What the admin port sends back. */
export interface AdminResponse {
  readonly status: number;
  /** Sent as JSON. */
  readonly body: unknown;
}

/** Answers one path of the admin port. */
export type AdminHandler = (request: AdminRequest) => Promise<AdminResponse>;

/** Methods of the admin port: GET reads, POST changes. */
export enum AdminMethod {
  Get = 'GET',
  Post = 'POST',
}

/** The paths of the admin port; plug-ins add theirs. */
export class AdminRoutes {
  private readonly handlers = new Map<string, AdminHandler>();

  /** Adds a path such as `/vms`; the same twice is a programming error. */
  add(method: AdminMethod, path: string, handler: AdminHandler): void {
    const key = `${method} ${path}`;
    if (this.handlers.has(key))
      throw new Error(`admin path ${key} added twice`);
    this.handlers.set(key, handler);
  }

  find(method: string, path: string): AdminHandler | undefined {
    return this.handlers.get(`${method} ${path}`);
  }

  /** All paths with their methods, sorted. */
  list(): string[] {
    return [...this.handlers.keys()].sort();
  }
}
