import {z} from 'zod';
import {addressSetting, integerSetting, listSetting} from '@gentiandoor/kernel';

const SHORTEST_KEY = 16;
const ADDRESS = addressSetting();

/** Settings section [peers]. Without `listen` the daemon has no peers. */
export const peersOptions = z
  .strictObject({
    /** IP number and port for links from other daemons; port 0 takes a free one. */
    listen: addressSetting().optional(),
    /** Key that all daemons of a deployment share. */
    key: z
      .string()
      .min(SHORTEST_KEY, {
        error: `expected a key of at least ${SHORTEST_KEY} characters`,
      })
      .optional(),
    /** Addresses to start from, before the log or a peer has named others. */
    seeds: listSetting()
      .pipe(z.array(ADDRESS))
      .default(() => []),
    /** Links kept up to daemons of the own data centre. */
    local_links: integerSetting(0, 64).default(8),
    /** Links kept up to daemons of all other data centres together. */
    remote_links: integerSetting(0, 64).default(8),
    /** Links opened for one request and closed when idle. */
    extra_links: integerSetting(0, 256).default(16),
    ping_milliseconds: integerSetting(50, 60_000).default(2000),
    /** A link that brings nothing for so long is cut. */
    silent_milliseconds: integerSetting(100, 300_000).default(7000),
    handshake_milliseconds: integerSetting(100, 60_000).default(3000),
    /** Bytes that may wait to be sent to one peer; more are dropped. */
    queue_bytes: integerSetting(1024, 1_000_000_000).default(8_000_000),
    /** A peer whose queue stays full for so long is cut. */
    slow_milliseconds: integerSetting(100, 300_000).default(5000),
    frame_bytes: integerSetting(1024, 100_000_000).default(16_000_000),
  })
  .refine(options => !options.listen || options.key, {
    path: ['key'],
    error: 'expected the key of the peer links beside listen',
  });

/** Checked settings of the peer links. */
export type PeersOptions = z.output<typeof peersOptions>;
