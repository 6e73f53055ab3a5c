import { chooseService } from '.'

describe('chooseService', () => {
  it.each([[0, 'a'], [0.89, 'a'], [0.91, 'b'], [0.999, 'b']])('chooses the service whose part of the weights contains the random number %d', (random, service) => {
    expect(chooseService([{ service: 'a', weight: 90 }, { service: 'off', weight: 0 }, { service: 'b', weight: 10 }], random)).toBe(service)
  })
})
