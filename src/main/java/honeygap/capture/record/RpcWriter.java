package honeygap.capture.record;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import honeygap.capture.message.RecordedRpc;
import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import org.apache.avro.Schema;
import org.apache.avro.SchemaBuilder;
import org.apache.avro.file.CodecFactory;
import org.apache.avro.file.DataFileWriter;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;

/** Writes one row for each RPC, in one of several formats. */
public interface RpcWriter extends Closeable {

    void write(RecordedRpc rpc) throws IOException;

    /** CSV (RFC 4180) with a header row. */
    final class Csv implements RpcWriter {

        private final Writer out;

        public Csv(OutputStream out) throws IOException {
            this.out = new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8));
            String[] names = RpcColumns.COLUMNS.stream().map(RpcColumns.Column::name).toArray(String[]::new);
            this.out.write(String.join(",", names) + "\r\n");
        }

        @Override
        public void write(RecordedRpc rpc) throws IOException {
            String separator = "";
            for (RpcColumns.Column column : RpcColumns.COLUMNS) {
                out.write(separator);
                separator = ",";
                String text = column.value().apply(rpc).toString();
                boolean needsNoQuotes = text.chars().noneMatch(c -> c == ',' || c == '"' || c == '\r' || c == '\n');
                out.write(needsNoQuotes ? text : '"' + text.replace("\"", "\"\"") + '"');
            }
            out.write("\r\n");
        }

        @Override
        public void close() throws IOException {
            out.close();
        }
    }

    /** JSON Lines: one object on each line. */
    final class JsonLines implements RpcWriter {

        private final JsonGenerator out;

        public JsonLines(OutputStream out) throws IOException {
            this.out = new JsonFactory().createGenerator(out);
            this.out.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
        }

        @Override
        public void write(RecordedRpc rpc) throws IOException {
            out.writeStartObject();
            for (RpcColumns.Column column : RpcColumns.COLUMNS) {
                Object value = column.value().apply(rpc);
                if (column.isText()) {
                    out.writeStringField(column.name(), value.toString());
                } else {
                    out.writeNumberField(column.name(), (Long) value);
                }
            }
            out.writeEndObject();
        }

        @Override
        public void close() throws IOException {
            out.writeRaw('\n');
            out.close();
        }
    }

    /** An Avro container file with zstd-compressed blocks. */
    final class Avro implements RpcWriter {

        private final Schema schema;
        private final DataFileWriter<GenericRecord> out;

        public Avro(OutputStream to) throws IOException {
            SchemaBuilder.FieldAssembler<Schema> fields = SchemaBuilder.record("Rpc").namespace("honeygap").fields();
            for (RpcColumns.Column column : RpcColumns.COLUMNS) {
                fields = column.isText() ? fields.requiredString(column.name()) : fields.requiredLong(column.name());
            }
            schema = fields.endRecord();
            out = new DataFileWriter<>(new GenericDatumWriter<GenericRecord>(schema));
            out.setCodec(CodecFactory.zstandardCodec(3));
            out.create(schema, to);
        }

        @Override
        public void write(RecordedRpc rpc) throws IOException {
            GenericRecord row = new GenericData.Record(schema);
            for (RpcColumns.Column column : RpcColumns.COLUMNS) {
                row.put(column.name(), column.value().apply(rpc));
            }
            out.append(row);
        }

        @Override
        public void close() throws IOException {
            out.close();
        }
    }
}
