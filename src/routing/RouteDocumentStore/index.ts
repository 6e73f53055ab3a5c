import { StoredDocument } from '../../contract/StoredDocument'
import type { StateMachine } from '../../log/StateMachine'

/**
 * @name RouteDocumentStore
 * @category Routing
 * @summary State machine of the log group `documents`, which holds the route document with the highest version.
 *
 * @description
 * A command is a StoredDocument. It is ignored unless its version is higher than that of the stored document. This
 * prevents a document that arrives twice, late, or from a second operator at the same time from replacing a newer one.
 *
 * The content is not decoded here: only the newest of the commands that are applied together counts.
 *
 * @param onChange - Called after a batch of commands or a snapshot, if the stored document changed.
 *
 * @example
 * const store = new RouteDocumentStore(() => {})
 * store.apply({ version: 2, content: new Uint8Array() }, 1) // 2
 * store.apply({ version: 1, content: new Uint8Array() }, 2) // 2
 * store.notifyObservers()
 */
export class RouteDocumentStore implements StateMachine {
  readonly #onChange: () => void
  #offset = 0
  #document: StoredDocument | undefined
  #notifiedVersion = 0

  constructor (onChange: () => void) {
    this.#onChange = onChange
  }

  get offset (): number {
    return this.#offset
  }

  /** Version of the stored document, 0 if there is none. */
  get version (): number {
    return this.#document?.version ?? 0
  }

  get document (): StoredDocument | undefined {
    return this.#document
  }

  /** Returns the version of the stored document after the command. */
  apply (command: unknown, offset: number): number {
    this.#offset = offset
    if (command === null) return this.version
    const document = StoredDocument.parse(command)
    if (this.#document && document.version <= this.#document.version) return this.version
    // The content of a decoded command is a view of the received frame; the copy lets the larger frame be freed.
    this.#document = { version: document.version, content: Uint8Array.from(document.content) }
    return this.version
  }

  notifyObservers (): void {
    if (this.version === this.#notifiedVersion) return
    this.#notifiedVersion = this.version
    this.#onChange()
  }

  getState (): unknown {
    return { offset: this.#offset, document: this.#document ?? null }
  }

  install (state: unknown): void {
    const { offset, document } = state as { offset: number, document: unknown }
    this.#offset = offset
    this.#document = document === null ? undefined : StoredDocument.parse(document)
  }
}
