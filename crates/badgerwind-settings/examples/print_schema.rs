//! Prints the XSD schema, which is published as `schema/badgerwind.xsd`.

fn main() {
    print!("{}", badgerwind_settings::schema::xsd());
}
