/** Whether work is short or long; the values are those of a bundle's services. */
export enum WorkLength {
  Short = 'short',
  Long = 'long',
}
