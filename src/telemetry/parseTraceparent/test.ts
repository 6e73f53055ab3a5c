import { parseTraceparent } from '.'
import { formatTraceparent } from '../formatTraceparent'

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
const SPAN_ID = 'b7ad6b7169203331'

describe('parseTraceparent', () => {
  it.each([
    ['a valid header', `00-${TRACE_ID}-${SPAN_ID}-01`, true],
    ['a later version with further fields', `01-${TRACE_ID}-${SPAN_ID}-01-more`, true],
    ['no header', undefined, false],
    ['further fields in version 00', `00-${TRACE_ID}-${SPAN_ID}-01-more`, false],
    ['version ff', `ff-${TRACE_ID}-${SPAN_ID}-01`, false],
    ['a trace id of zeros', `00-${'0'.repeat(32)}-${SPAN_ID}-01`, false],
    ['a span id of zeros', `00-${TRACE_ID}-${'0'.repeat(16)}-01`, false],
    ['upper case', `00-${TRACE_ID.toUpperCase()}-${SPAN_ID}-01`, false]
  ])('continues a trace only for a valid header: %s', (_name, header, isValid) => {
    const context = parseTraceparent(header)
    expect(context !== undefined).toBe(isValid)
    if (context) expect(formatTraceparent(context)).toBe(`00-${TRACE_ID}-${SPAN_ID}-01`)
  })
})
